//! Bundles: the operators' declarative configuration, its signatures, and the
//! selection of the active version.
//!
//! - [`model`]: the data model.
//! - [`check`]: validation that reports all errors.
//! - [`content`]: a bundle as entries of canonical JSON, and patches to them.
//! - [`entry`]: parsing of individual entries.
//! - [`digest`] and [`hash`]: the incremental content digest that is signed.
//! - [`approval`]: an operator's signed approval of a bundle.
//! - [`keys`]: operators' keys and signatures.
//! - [`record`]: the records in the platform's log.
//! - [`accept`] and [`verdict`]: the rules by which records are accepted.
//! - [`index`]: a bundle with an index of bearer tokens.

pub mod accept;
pub mod approval;
pub mod check;
pub mod content;
pub mod digest;
pub mod entry;
pub mod hash;
pub mod index;
pub mod keys;
pub mod model;
pub mod record;
pub mod verdict;

pub use accept::{Acceptor, Head};
pub use approval::Approval;
pub use content::Content;
pub use hash::Hash;
pub use index::{IndexedBundle, token_hash};
pub use keys::{Operators, SecretKey};
pub use model::{Bundle, Class, EnginePool, Service, Shares, Targets, Workspace};
pub use record::{Checkpoint, Payload, Record, SignedHeader};
pub use verdict::{RecordError, Verdict};
