//! The content of a bundle as stored in records: entries of canonical JSON.
//!
//! A change adds, replaces or removes individual entries, so that its size
//! does not grow with the number of workspaces; see
//! docs/DECISIONS/0303-deltas.md. Content is kept as signed instead of being
//! parsed and written again: a daemon of another version that drops or adds a
//! field would otherwise compute a different digest.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::Snafu;

use crate::digest::DigestTree;
use crate::entry::Entry;
use crate::hash::Hash;
use crate::model::Bundle;

/// All entries of a bundle: section, then name, then canonical JSON.
pub type Entries = BTreeMap<String, BTreeMap<String, Value>>;

/// Entries to add or replace; `None` removes an entry.
pub type Patch = BTreeMap<String, BTreeMap<String, Option<Value>>>;

/// The content of one bundle version, with an incrementally updated digest.
#[derive(Debug, Clone, Default)]
pub struct Content {
    entries: BTreeMap<String, BTreeMap<String, Box<str>>>,
    tree: DigestTree,
}

/// Why content could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum Error {
    /// The JSON is not an object of objects.
    #[snafu(display(
        "step=read_bundle key={key}: expected an object (hint: a bundle is an object of sections, each an object of entries)"
    ))]
    #[serde(rename = "Shape")]
    NotAnObject {
        /// The invalid key.
        key: String,
    },
    /// This build cannot parse the content.
    #[snafu(display("step=read_bundle key={key}: {found} (hint: run bundle check)"))]
    #[serde(rename = "Meaning")]
    Invalid {
        /// JSON path of the invalid key.
        key: String,
        /// The problem found there.
        found: String,
    },
}

impl Content {
    /// Creates content from all of its entries.
    #[must_use]
    pub fn new(entries: &Entries) -> Self {
        let mut content = Self::default();
        for (section, named) in entries {
            for (name, value) in named {
                content.set(section, name, Some(canonical_json(value)));
            }
        }
        content.tree.update_sums();
        content
    }

    /// Creates content from a bundle's JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAnObject`] when it is not an object of objects.
    pub fn from_json(json: &Value) -> Result<Self, Error> {
        let shape = |key: &str| Error::NotAnObject {
            key: key.to_owned(),
        };
        let sections = json.as_object().ok_or_else(|| shape("."))?;

        let mut content = Self::default();
        for (section, named) in sections {
            let named = named.as_object().ok_or_else(|| shape(section))?;
            for (name, value) in named {
                content.set(section, name, Some(canonical_json(value)));
            }
        }
        content.tree.update_sums();
        Ok(content)
    }

    /// Creates content by serializing a bundle.
    #[must_use]
    pub fn from_bundle(bundle: &Bundle) -> Self {
        // A bundle always serializes to an object of objects.
        let json = serde_json::to_value(bundle).unwrap_or_default();
        Self::from_json(&json).unwrap_or_default()
    }

    /// Digest of all entries.
    #[must_use]
    pub fn digest(&self) -> Hash {
        self.tree.root()
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.values().map(BTreeMap::len).sum()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Applies a patch and returns its inverse.
    pub fn apply(&mut self, patch: &Patch) -> Patch {
        let mut undo = Patch::new();
        for (section, named) in patch {
            for (name, value) in named {
                let old = self.set(section, name, value.as_ref().map(canonical_json));
                let old = old.and_then(|text| serde_json::from_str(&text).ok());
                undo.entry(section.clone())
                    .or_default()
                    .insert(name.clone(), old);
            }
        }
        self.tree.update_sums();
        undo
    }

    /// Returns the patch that turns this content into `other`.
    #[must_use]
    pub fn patch_to(&self, other: &Self) -> Patch {
        let mut patch = Patch::new();
        let mut insert = |section: &str, name: &str, value: Option<&str>| {
            let value = value.and_then(|text| serde_json::from_str(text).ok());
            patch
                .entry(section.to_owned())
                .or_default()
                .insert(name.to_owned(), value);
        };

        for (section, name, value) in other.iter() {
            if self.get(section, name) != Some(value) {
                insert(section, name, Some(value));
            }
        }
        for (section, name, _) in self.iter() {
            if other.get(section, name).is_none() {
                insert(section, name, None);
            }
        }
        patch
    }

    /// Iterates over all entries as section, name and canonical JSON.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str, &str)> {
        self.entries.iter().flat_map(|(section, named)| {
            named
                .iter()
                .map(move |(name, value)| (section.as_str(), name.as_str(), &**value))
        })
    }

    /// Iterates over the entries of a section as name and canonical JSON.
    pub fn section(&self, section: &str) -> impl Iterator<Item = (&str, &str)> {
        let named = self.entries.get(section).into_iter().flatten();
        named.map(|(name, value)| (name.as_str(), &**value))
    }

    /// Canonical JSON of one entry.
    #[must_use]
    pub fn get(&self, section: &str, name: &str) -> Option<&str> {
        self.entries.get(section)?.get(name).map(|v| &**v)
    }

    /// All entries as JSON values, for a record with the full content.
    #[must_use]
    pub fn entries(&self) -> Entries {
        let mut all = Entries::new();
        for (section, name, value) in self.iter() {
            let value = serde_json::from_str(value).unwrap_or_default();
            all.entry(section.to_owned())
                .or_default()
                .insert(name.to_owned(), value);
        }
        all
    }

    /// The content as one JSON object in the format that operators write.
    #[must_use]
    pub fn to_json(&self) -> Value {
        serde_json::to_value(self.entries()).unwrap_or_default()
    }

    /// Parses the content.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with the path of the first invalid key.
    pub fn to_bundle(&self) -> Result<Bundle, Error> {
        let mut bundle = Bundle::default();
        for (section, name, _) in self.iter() {
            bundle.set(section, name, Entry::parse(self, section, name)?);
        }
        Ok(bundle)
    }

    /// Sets or removes one entry and returns its previous value.
    fn set(&mut self, section: &str, name: &str, value: Option<String>) -> Option<Box<str>> {
        self.tree.set(section, name, value.as_deref());
        match value {
            Some(value) => {
                let named = self.entries.entry(section.to_owned()).or_default();
                named.insert(name.to_owned(), value.into_boxed_str())
            }
            None => {
                let named = self.entries.get_mut(section)?;
                let old = named.remove(name);
                if named.is_empty() {
                    self.entries.remove(section);
                }
                old
            }
        }
    }
}

/// Serializes JSON without whitespace and with sorted keys, so that equal
/// values have equal bytes.
#[must_use]
pub fn canonical_json(value: &Value) -> String {
    sorted(value).to_string()
}

fn sorted(value: &Value) -> Value {
    match value {
        Value::Array(items) => Value::Array(items.iter().map(sorted).collect()),
        Value::Object(fields) => {
            let fields: BTreeMap<&String, Value> =
                fields.iter().map(|(k, v)| (k, sorted(v))).collect();
            let fields = fields.into_iter().map(|(k, v)| (k.clone(), v));
            Value::Object(fields.collect())
        }
        other => other.clone(),
    }
}
