//! An operator's sign-off of a bundle, kept beside it under version control.
//!
//! It says that the operator read and approved this content. Which version it
//! becomes is signed anew when it is published, because only then the parent
//! is known.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu, ensure};

use crate::content::{self, Content};
use crate::hash::Hash;
use crate::keys::{self, Operators, SecretKey, verify};

/// Leads the signed message, so that a sign-off is never taken for a header.
const APPROVAL: &str = "approval";

/// A bundle with an operator's sign-off, as `bundle sign` writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Approval {
    /// The bundle.
    pub bundle: Value,
    /// Digest of its content.
    pub digest: Hash,
    /// Who signed it off.
    pub operator: String,
    /// The signature over the digest, in base64.
    pub signature: String,
}

/// Why a sign-off is of no use.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bundle is not one.
    #[snafu(display("{source}"))]
    InvalidBundle {
        /// What was found.
        source: content::Error,
    },
    /// The bundle was changed after it was signed off.
    #[snafu(display(
        "step=verify_approval: the bundle is not the one that {operator} signed \
         (hint: sign it again)"
    ))]
    BundleChanged {
        /// Who signed.
        operator: String,
    },
    /// The signature is of no use.
    #[snafu(display("{source} (operator {operator})"))]
    InvalidSignature {
        /// Who signed.
        operator: String,
        /// What was found.
        source: keys::Error,
    },
}

impl Approval {
    /// Signs a bundle off.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the bundle is not one or the key is damaged.
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

    /// The content, once the sign-off holds against those who may sign.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when it does not.
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
