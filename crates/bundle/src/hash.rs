//! SHA-256 hashes, serialized in hexadecimal.

use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a hash in bytes.
pub const HASH_LEN: usize = 32;

/// A SHA-256 hash.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Hash(pub [u8; HASH_LEN]);

impl Hash {
    /// Hashes a list of byte strings, each prefixed with its length, so that
    /// different lists never have the same input bytes.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut sha = Sha256::new();
        for part in parts {
            sha.update((part.len() as u64).to_be_bytes());
            sha.update(part);
        }
        Self(sha.finalize().into())
    }
}

impl Display for Hash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl Debug for Hash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(self, f)
    }
}

impl From<Hash> for String {
    fn from(hash: Hash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for Hash {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl FromStr for Hash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || format!("invalid hash {text:?}, expected 64 lower-case hex digits");
        let hex = |c: u8| matches!(c, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 2 * HASH_LEN || !text.bytes().all(hex) {
            return Err(invalid());
        }

        let mut bytes = [0; HASH_LEN];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}
