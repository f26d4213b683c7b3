//! Operators' keys and signatures.

use std::collections::BTreeMap;
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Operators by name, each with a public key in base64.
pub type Operators = BTreeMap<String, String>;

/// Bytes that lead every signed message, so that a signature made for
/// something else never fits a bundle.
const DOMAIN: &[u8] = b"pimentocart bundle v1\n";

/// An operator's secret key, as `keys new` writes it.
#[derive(Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretKey {
    /// The operator's name.
    pub operator: String,
    /// The secret, in base64.
    secret: String,
    /// The public key, in base64, for the bundle's operators.
    #[serde(rename = "public")]
    pub public_key: String,
}

impl fmt::Debug for SecretKey {
    /// Leaves the secret out, so that no log line can carry it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecretKey")
            .field("operator", &self.operator)
            .field("public", &self.public_key)
            .finish_non_exhaustive()
    }
}

/// Why a key or a signature is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not base64 of the right length, or no point of the curve.
    #[snafu(display(
        "step=read_key: not a key (hint: 32 bytes in base64, as keys new prints them)"
    ))]
    BadKey,
    /// The operator is not among those who may sign.
    #[snafu(display("step=verify: unknown operator"))]
    UnknownOperator,
    /// The signature does not fit.
    #[snafu(display("step=verify: bad signature"))]
    BadSignature,
}

impl SecretKey {
    /// Draws a new key for an operator.
    #[must_use]
    pub fn random(operator: &str) -> Self {
        Self::from_secret(operator, &rand::random())
    }

    /// Makes the key from 32 secret bytes.
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
    /// Returns [`Error::BadKey`] when the secret is damaged.
    pub fn sign(&self, message: &[u8]) -> Result<String, Error> {
        let key = SigningKey::from_bytes(&decode::<32>(&self.secret)?);
        Ok(STANDARD.encode(key.sign(&framed(message)).to_bytes()))
    }
}

/// Checks a signature by the named operator.
///
/// # Errors
///
/// Returns [`Error`] when the operator is not one of `operators` or the
/// signature does not fit.
pub fn verify(
    operators: &Operators,
    operator: &str,
    message: &[u8],
    signature: &str,
) -> Result<(), Error> {
    let public = operators.get(operator).ok_or(Error::UnknownOperator)?;
    let key = public_key(public)?;
    let signature = decode::<64>(signature).map_err(|_| Error::BadSignature)?;
    key.verify_strict(&framed(message), &Signature::from_bytes(&signature))
        .map_err(|_| Error::BadSignature)
}

/// Reads a public key.
///
/// # Errors
///
/// Returns [`Error::BadKey`] when the text is none.
pub fn public_key(text: &str) -> Result<VerifyingKey, Error> {
    let key = VerifyingKey::from_bytes(&decode::<32>(text)?).map_err(|_| Error::BadKey)?;
    // A weak key would accept signatures that nobody made.
    if key.is_weak() {
        return Err(Error::BadKey);
    }
    Ok(key)
}

fn framed(message: &[u8]) -> Vec<u8> {
    [DOMAIN, message].concat()
}

fn decode<const N: usize>(text: &str) -> Result<[u8; N], Error> {
    let bytes = STANDARD.decode(text).map_err(|_| Error::BadKey)?;
    bytes.try_into().map_err(|_| Error::BadKey)
}
