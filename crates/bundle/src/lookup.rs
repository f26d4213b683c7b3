//! A bundle prepared for looking things up on every request.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::ops::Deref;

use sha2::{Digest, Sha256};

use crate::Bundle;

/// A bundle with an index of its bearer tokens. A bundle may have tens of
/// thousands of workspaces, and every request names its own by a token; going
/// through them all would cost each request milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Lookup {
    /// The bundle.
    bundle: Bundle,
    /// Workspace names by the hex SHA-256 of a token.
    tokens: HashMap<String, String>,
}

impl Lookup {
    /// Prepares a bundle.
    #[must_use]
    pub fn new(bundle: Bundle) -> Self {
        let mut tokens = HashMap::new();
        for (name, workspace) in &bundle.workspaces {
            for token in &workspace.tokens {
                tokens.insert(token.clone(), name.clone());
            }
        }
        Self { bundle, tokens }
    }

    /// The workspace that a bearer token stands for.
    #[must_use]
    pub fn owner(&self, token: &str) -> Option<&str> {
        self.tokens.get(&token_hash(token)).map(String::as_str)
    }
}

impl Deref for Lookup {
    type Target = Bundle;

    fn deref(&self) -> &Bundle {
        &self.bundle
    }
}

/// The form in which a token stands in a bundle: hex SHA-256.
#[must_use]
pub fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest
        .iter()
        .fold(String::with_capacity(64), |mut out, byte| {
            // Writing to memory cannot fail.
            let _ = write!(out, "{byte:02x}");
            out
        })
}
