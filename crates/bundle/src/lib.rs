//! Bundles: what operators declare, how it is signed, and which version of it
//! is in force.
//!
//! - [`model`]: the declaration itself.
//! - [`check`]: every fault of a declaration in one run.
//! - [`content`]: the declaration as entries of canonical JSON, and changes
//!   of it.
//! - [`entry`]: one entry, as this build understands it.
//! - [`digest`] and [`hash`]: what is signed in place of the content.
//! - [`approval`]: an operator's sign-off of a bundle.
//! - [`keys`]: operators' keys and signatures.
//! - [`record`]: the records in the platform's log.
//! - [`accept`] and [`verdict`]: which record is accepted.
//! - [`index`]: the declaration prepared for every request.

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
