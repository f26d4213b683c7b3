//! Validates a bundle and reports all errors at once, each with its JSON path
//! and a hint.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::keys;
use crate::model::{Bundle, Class, EnginePool, Service, Shares, Workspace};

/// Largest tier number of a class, which is the lowest priority.
const LOWEST_TIER: u8 = 7;

/// Maximum number of names listed in a hint.
const HINT_NAMES: usize = 8;

/// The sections of a bundle.
const SECTIONS: [&str; 6] = [
    "classes",
    "workspaces",
    "models",
    "services",
    "operators",
    "shares",
];

/// Placeholder name for all entries of a section that could not be read.
const ALL: &str = "";

/// One validation error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// JSON path of the invalid value.
    pub path: String,
    /// The value or the problem found there.
    pub found: String,
    /// Which values are valid.
    pub hint: String,
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { path, found, hint } = self;
        write!(f, "{path}: {found} (hint: {hint})")
    }
}

/// Validates a bundle and returns all errors in section order.
#[must_use]
pub fn check(json: &Value) -> Vec<Finding> {
    let mut check = Check::default();
    let bundle = check.read(json);
    check.classes(&bundle);
    check.workspaces(&bundle);
    check.services(&bundle);
    check.operators(&bundle);
    check.shares(&bundle.shares);
    check.findings
}

/// Errors found so far.
#[derive(Default)]
struct Check {
    findings: Vec<Finding>,
    /// Section and name of unreadable entries, which other entries may still
    /// refer to.
    broken: BTreeSet<(String, String)>,
}

impl Check {
    fn add(&mut self, path: impl Into<String>, found: impl Into<String>, hint: impl Into<String>) {
        self.findings.push(Finding {
            path: path.into(),
            found: found.into(),
            hint: hint.into(),
        });
    }

    /// Parses each entry separately, so that an unreadable entry does not hide
    /// errors in others.
    fn read(&mut self, json: &Value) -> Bundle {
        let Some(sections) = json.as_object() else {
            self.add(".", "not an object", "a bundle is an object of sections");
            return Bundle::default();
        };
        for name in sections.keys().filter(|n| !SECTIONS.contains(&n.as_str())) {
            let hint = format!("the sections are {}", SECTIONS.join(", "));
            self.add(name, "unknown section", hint);
        }
        let shares = json.get("shares").cloned();
        Bundle {
            classes: self.section::<Class>(json, "classes"),
            workspaces: self.section::<Arc<Workspace>>(json, "workspaces"),
            models: self.section::<EnginePool>(json, "models"),
            services: self.section::<Service>(json, "services"),
            operators: self.section::<String>(json, "operators"),
            shares: shares
                .and_then(|s| self.entry("shares", s))
                .unwrap_or_default(),
        }
    }

    fn section<T: DeserializeOwned>(&mut self, json: &Value, name: &str) -> BTreeMap<String, T> {
        let Some(section) = json.get(name) else {
            return BTreeMap::new();
        };
        let Some(entries) = section.as_object() else {
            self.add(name, "not an object", "a section is an object of entries");
            self.broken.insert((name.to_owned(), ALL.to_owned()));
            return BTreeMap::new();
        };
        let mut read = BTreeMap::new();
        for (key, value) in entries {
            match self.entry(&format!("{name}.{key}"), value.clone()) {
                Some(entry) => {
                    read.insert(key.clone(), entry);
                }
                None => {
                    self.broken.insert((name.to_owned(), key.clone()));
                }
            }
        }
        read
    }

    fn entry<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        match serde_path_to_error::deserialize(value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                let inner = e.path().to_string();
                let path = match inner.as_str() {
                    "." => path.to_owned(),
                    inner => format!("{path}.{inner}"),
                };
                let hint = "see docs/operators/bundles.md for the keys and their units";
                self.add(path, e.into_inner().to_string(), hint);
                None
            }
        }
    }

    fn classes(&mut self, bundle: &Bundle) {
        if bundle.classes.is_empty() && !self.any_broken("classes") {
            self.add("classes", "no class", "declare at least one request class");
        }
        for (name, class) in &bundle.classes {
            let path = format!("classes.{name}");
            if class.tier.0 > LOWEST_TIER {
                let hint = format!("tiers range from 0 (highest priority) to {LOWEST_TIER}");
                self.add(format!("{path}.tier"), class.tier.to_string(), hint);
            }
            self.targets(&format!("{path}.targets"), class);

            let known = bundle.models.contains_key(&class.model)
                || bundle.services.contains_key(&class.model)
                || self.is_broken("models", &class.model)
                || self.is_broken("services", &class.model);
            if !known {
                let names = bundle.models.keys().chain(bundle.services.keys());
                let hint = format!("name a model or service: {}", list(names));
                self.add(format!("{path}.model"), quoted(&class.model), hint);
            }
        }
    }

    fn targets(&mut self, path: &str, class: &Class) {
        let targets = &class.targets;
        let named = [
            ("first_token", targets.first_token),
            ("token_gap", targets.token_gap),
            ("whole", targets.full_answer),
        ];
        for (name, span) in named.iter().filter(|(_, span)| span.0.is_zero()) {
            let hint = "a target must be longer than 0, as in \"900ms\"";
            self.add(format!("{path}.{name}"), span.to_string(), hint);
        }
        if targets.first_token > targets.full_answer {
            let found = format!(
                "{} with first_token {}",
                targets.full_answer, targets.first_token
            );
            let hint =
                "the target for the whole answer must not be below the one for the first token";
            self.add(format!("{path}.whole"), found, hint);
        }
    }

    fn workspaces(&mut self, bundle: &Bundle) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, workspace) in &bundle.workspaces {
            let path = format!("workspaces.{name}");
            for (i, class) in workspace.classes.iter().enumerate() {
                let broken = self.is_broken("classes", class);
                if !bundle.classes.contains_key(class) && !broken {
                    let hint = format!("name declared classes: {}", list(bundle.classes.keys()));
                    self.add(format!("{path}.classes[{i}]"), quoted(class), hint);
                }
            }
            if workspace.weight == 0 {
                let hint = "a weight must be at least 1";
                self.add(format!("{path}.weight"), "0", hint);
            }

            for (i, token) in workspace.tokens.iter().enumerate() {
                let path = format!("{path}.tokens[{i}]");
                if token.parse::<crate::Hash>().is_err() {
                    let hint = "the hex SHA-256 of the token, 64 lower-case digits";
                    self.add(path, quoted(token), hint);
                } else if let Some(owner) = owners.insert(token, name) {
                    let found = format!("also a token of workspace {owner:?}");
                    self.add(path, found, "a token identifies one workspace");
                }
            }
        }
    }

    fn services(&mut self, bundle: &Bundle) {
        for (name, service) in &bundle.services {
            let broken = self.is_broken("classes", &service.class);
            if !bundle.classes.contains_key(&service.class) && !broken {
                let hint = format!("name a declared class: {}", list(bundle.classes.keys()));
                self.add(
                    format!("services.{name}.class"),
                    quoted(&service.class),
                    hint,
                );
            }
            if bundle.models.contains_key(name) {
                let hint = "a name refers to a model or a service, not both";
                self.add(format!("services.{name}"), "also a model", hint);
            }
        }
    }

    fn operators(&mut self, bundle: &Bundle) {
        if bundle.operators.is_empty() && !self.any_broken("operators") {
            let hint = "list at least one, otherwise nobody can sign the next bundle";
            self.add("operators", "no operator", hint);
        }
        for (name, key) in &bundle.operators {
            if keys::public_key(key).is_err() {
                let hint = "a public key as printed by keys new, 32 bytes in base64";
                self.add(format!("operators.{name}"), quoted(key), hint);
            }
        }
    }

    fn shares(&mut self, shares: &Shares) {
        let limits = [
            ("guaranteed", shares.guaranteed_share, 0.5),
            ("retries", shares.retry_ratio, 1.0),
            ("ejected", shares.max_ejected, 0.5),
        ];
        for (name, share, limit) in limits {
            if !(0.0..=limit).contains(&share) {
                let hint = format!("a share between 0 and {limit}");
                self.add(format!("shares.{name}"), share.to_string(), hint);
            }
        }
    }

    /// Whether an entry exists but could not be read.
    fn is_broken(&self, section: &str, name: &str) -> bool {
        let names = |(s, n): &(String, String)| s == section && (n == name || n == ALL);
        self.broken.iter().any(names)
    }

    fn any_broken(&self, section: &str) -> bool {
        self.broken.iter().any(|(s, _)| s == section)
    }
}

fn quoted(text: &str) -> String {
    format!("{text:?}")
}

fn list<'a>(names: impl Iterator<Item = &'a String>) -> String {
    let names: Vec<&str> = names.take(HINT_NAMES).map(String::as_str).collect();
    match names.is_empty() {
        true => "none is declared".to_owned(),
        false => names.join(", "),
    }
}
