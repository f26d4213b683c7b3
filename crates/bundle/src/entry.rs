//! Parsing of individual bundle entries.
//!
//! A change contains few entries. Parsing all 46,000 workspaces again for each
//! change would take a daemon 0.2 s; see docs/DECISIONS/0303-deltas.md.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use crate::content::{Content, Error};
use crate::model::{Bundle, Class, EnginePool, Service, Shares, Workspace};

/// One parsed entry.
#[derive(Debug, Clone)]
pub enum Entry {
    /// A request class.
    Class(Class),
    /// A workspace.
    Workspace(Arc<Workspace>),
    /// A pool of model engines.
    Model(EnginePool),
    /// A service other than a model engine.
    Service(Service),
    /// An operator's public key.
    Operator(String),
    /// The whole `shares` section, which is parsed as one entry.
    Shares(Shares),
    /// The entry does not exist.
    Removed,
}

impl Entry {
    /// Parses an entry of `content`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] if this build cannot parse the entry.
    pub fn parse(content: &Content, section: &str, name: &str) -> Result<Self, Error> {
        if section == "shares" {
            return parse_shares(content).map(Self::Shares);
        }
        let Some(text) = content.get(section, name) else {
            return Ok(Self::Removed);
        };
        let key = || format!("{section}.{name}");
        match section {
            "classes" => parse(text, key).map(Self::Class),
            "workspaces" => parse(text, key).map(|w| Self::Workspace(Arc::new(w))),
            "models" => parse(text, key).map(Self::Model),
            "services" => parse(text, key).map(Self::Service),
            "operators" => parse(text, key).map(Self::Operator),
            _ => Err(Error::Invalid {
                key: section.to_owned(),
                found: "unknown section".to_owned(),
            }),
        }
    }
}

impl Bundle {
    /// Sets or removes an entry.
    pub(crate) fn set(&mut self, section: &str, name: &str, entry: Entry) {
        let name = name.to_owned();
        match entry {
            Entry::Class(class) => drop(self.classes.insert(name, class)),
            Entry::Workspace(workspace) => drop(self.workspaces.insert(name, workspace)),
            Entry::Model(pool) => drop(self.models.insert(name, pool)),
            Entry::Service(service) => drop(self.services.insert(name, service)),
            Entry::Operator(key) => drop(self.operators.insert(name, key)),
            Entry::Shares(shares) => self.shares = shares,
            Entry::Removed => self.remove(section, &name),
        }
    }

    fn remove(&mut self, section: &str, name: &str) {
        match section {
            "classes" => drop(self.classes.remove(name)),
            "workspaces" => drop(self.workspaces.remove(name)),
            "models" => drop(self.models.remove(name)),
            "services" => drop(self.services.remove(name)),
            "operators" => drop(self.operators.remove(name)),
            _ => {}
        }
    }
}

fn parse_shares(content: &Content) -> Result<Shares, Error> {
    let fields = content.section("shares").map(|(name, value)| {
        let value = serde_json::from_str(value).unwrap_or_default();
        (name.to_owned(), value)
    });
    let fields: serde_json::Map<_, serde_json::Value> = fields.collect();
    parse(&serde_json::Value::Object(fields).to_string(), || {
        "shares".to_owned()
    })
}

fn parse<T: DeserializeOwned>(text: &str, key: impl Fn() -> String) -> Result<T, Error> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de).map_err(|e| Error::Invalid {
        key: match e.path().to_string().as_str() {
            "." => key(),
            inner => format!("{}.{inner}", key()),
        },
        found: e.into_inner().to_string(),
    })
}
