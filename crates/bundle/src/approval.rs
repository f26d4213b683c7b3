//! An operator's signed approval of a bundle, stored with it under version
//! control.
//!
//! It states that the operator approved this content. The version header is
//! signed separately on publication because its parent is not known earlier.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu, ensure};

use crate::content::{self, Content};
use crate::hash::Hash;
use crate::keys::{self, Operators, SecretKey, verify};

/// Prefix of the signed message, so that an approval cannot be replayed as a
/// header.
const APPROVAL: &str = "approval";

/// A bundle with an operator's approval, as written by `bundle sign`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Approval {
    /// The bundle as JSON.
    pub bundle: Value,
    /// Digest of the bundle's content.
    pub digest: Hash,
    /// Name of the operator who approved it.
    pub operator: String,
    /// Base64 signature over the digest.
    pub signature: String,
}

/// Why an approval could not be created or is invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bundle could not be read.
    #[snafu(display("{source}"))]
    InvalidBundle {
        /// The cause.
        source: content::Error,
    },
    /// The bundle was changed after its approval.
    #[snafu(display(
        "step=verify_approval: bundle differs from the one signed by {operator} \
         (hint: sign it again)"
    ))]
    BundleChanged {
        /// Name of the operator.
        operator: String,
    },
    /// The signature or the key is invalid.
    #[snafu(display("{source} (operator {operator})"))]
    InvalidSignature {
        /// Name of the operator.
        operator: String,
        /// The cause.
        source: keys::Error,
    },
}

impl Approval {
    /// Approves a bundle with an operator's key.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the bundle cannot be read or the key is invalid.
    pub fn new(bundle: Value, key: &SecretKey) -> Result<Self, Error> {
        let digest = Content::from_json(&bundle)
            .context(InvalidBundleSnafu)?
            .digest();
        let operator = key.operator.clone();
        let signature = key.sign(&message(digest)).context(InvalidSignatureSnafu {
            operator: &operator,
        })?;
        Ok(Self {
            bundle,
            digest,
            operator,
            signature,
        })
    }

    /// Verifies the approval against `operators` and returns the content.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the approval is invalid.
    pub fn content(&self, operators: &Operators) -> Result<Content, Error> {
        let operator = &self.operator;
        let content = Content::from_json(&self.bundle).context(InvalidBundleSnafu)?;
        ensure!(
            content.digest() == self.digest,
            BundleChangedSnafu { operator }
        );
        verify(operators, operator, &message(self.digest), &self.signature)
            .context(InvalidSignatureSnafu { operator })?;
        Ok(content)
    }
}

fn message(digest: Hash) -> Vec<u8> {
    format!("{APPROVAL} {digest}").into_bytes()
}
