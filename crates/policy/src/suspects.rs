//! Requests under which backend servers end.

use std::fmt::{self, Display, Formatter};

use sha2::{Digest, Sha256};

/// Names a request by what its caller sends, whichever entry gets it and
/// however often. It cannot be chosen, so that no caller has the requests of
/// another one taken for its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Print([u8; 16]);

impl Print {
    /// The print of a request with these parts: its method, host, path,
    /// workspace and body.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut print = [0; 16];
        print.copy_from_slice(&hash.finalize()[..16]);
        Self(print)
    }
}

impl Display for Print {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
