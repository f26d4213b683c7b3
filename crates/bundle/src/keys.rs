//! Operators' keys and signatures.

use std::collections::BTreeMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Base64 public keys by operator name.
pub type Operators = BTreeMap<String, String>;

/// Prefix of every signed message (domain separation), so that a signature
/// made for another purpose is never valid for a bundle.
const DOMAIN: &[u8] = b"pimentocart bundle v1\n";

/// An operator's key pair, as written by `keys new`.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretKey {
    /// The operator's name.
    pub operator: String,
    /// Base64 secret key.
    secret: String,
    /// Base64 public key, for the bundle's `operators` section.
    #[serde(rename = "public")]
    pub public_key: String,
}

impl fmt::Debug for SecretKey {
    /// Omits the secret, so that it cannot appear in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretKey")
            .field("operator", &self.operator)
            .field("public", &self.public_key)
            .finish_non_exhaustive()
    }
}

/// Why a key or a signature is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not base64 of the right length or not a point on the curve.
    #[snafu(display(
        "step=read_key: invalid key (hint: 32 bytes in base64, as printed by keys new)"
    ))]
    BadKey,
    /// The operator is not one of the trusted operators.
    #[snafu(display("step=verify: unknown operator"))]
    UnknownOperator,
    /// The signature does not match the message.
    #[snafu(display("step=verify: bad signature"))]
    BadSignature,
}

impl SecretKey {
    /// Generates a random key for an operator.
    #[must_use]
    pub fn random(operator: &str) -> Self {
        Self::from_secret(operator, &rand::random())
    }

    /// Creates the key from 32 secret bytes.
    #[must_use]
    pub fn from_secret(operator: &str, secret: &[u8; 32]) -> Self {
        let public = SigningKey::from_bytes(secret).verifying_key();
        Self {
            operator: operator.to_owned(),
            secret: STANDARD.encode(secret),
            public_key: STANDARD.encode(public.as_bytes()),
        }
    }

    /// Signs a message and returns the signature in base64.
    ///
    /// # Errors
    ///
    /// Returns [`Error::BadKey`] if the secret cannot be decoded.
    pub fn sign(&self, message: &[u8]) -> Result<String, Error> {
        let key = SigningKey::from_bytes(&decode::<32>(&self.secret)?);
        Ok(STANDARD.encode(key.sign(&with_domain(message)).to_bytes()))
    }
}

/// Verifies the named operator's signature.
///
/// # Errors
///
/// Returns [`Error`] if the operator is not one of `operators` or the
/// signature is invalid.
pub fn verify(
    operators: &Operators,
    operator: &str,
    message: &[u8],
    signature: &str,
) -> Result<(), Error> {
    let public = operators.get(operator).ok_or(Error::UnknownOperator)?;
    let key = public_key(public)?;
    let signature = decode::<64>(signature).map_err(|_| Error::BadSignature)?;
    key.verify_strict(&with_domain(message), &Signature::from_bytes(&signature))
        .map_err(|_| Error::BadSignature)
}

/// Decodes a public key.
///
/// # Errors
///
/// Returns [`Error::BadKey`] if the text is not a valid key.
pub fn public_key(text: &str) -> Result<VerifyingKey, Error> {
    let key = VerifyingKey::from_bytes(&decode::<32>(text)?).map_err(|_| Error::BadKey)?;
    // A weak key would accept forged signatures.
    if key.is_weak() {
        return Err(Error::BadKey);
    }
    Ok(key)
}

fn with_domain(message: &[u8]) -> Vec<u8> {
    [DOMAIN, message].concat()
}

fn decode<const N: usize>(text: &str) -> Result<[u8; N], Error> {
    let bytes = STANDARD.decode(text).map_err(|_| Error::BadKey)?;
    bytes.try_into().map_err(|_| Error::BadKey)
}
