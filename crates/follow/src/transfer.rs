//! Transfer of the bundle between daemons, so that a version propagates while
//! the log is down.
//!
//! The receiver verifies every signature itself and trusts the sender only for
//! the offsets.

use base::ids::{BundleSequence, Offset};
use bundle::{Checkpoint, Verdict};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::state::BundleState;

/// Message from a daemon to an outdated peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transfer {
    /// Changes since the receiver's version.
    Changes {
        /// Offset and record of each change, in log order.
        changes: Vec<(Offset, String)>,
        /// Last offset that the sender has processed.
        #[serde(rename = "judged")]
        processed: Offset,
    },
    /// Snapshot of the sender's state.
    Checkpoint(Box<Checkpoint>),
}

/// Why a transfer was refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not be parsed.
    #[snafu(display("step=read_transfer: {source}"))]
    Unreadable {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// Its signatures or its content are invalid.
    #[snafu(display("step=apply_transfer: {verdict}"))]
    Refused {
        /// Verdict on the refused record.
        verdict: Verdict,
    },
}

impl Transfer {
    /// Serializes the transfer.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

impl BundleState {
    /// Applies a peer's transfer if it is valid and newer, and returns the
    /// active version.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if it is invalid; the active version stays unchanged.
    pub(crate) fn apply_transfer(&self, bytes: &[u8]) -> Result<BundleSequence, Error> {
        match serde_json::from_slice(bytes).context(UnreadableSnafu)? {
            Transfer::Changes { changes, processed } => self.apply_changes(&changes, processed)?,
            Transfer::Checkpoint(checkpoint) => {
                let adopted = self.with_acceptor(|a| a.adopt(*checkpoint));
                let adopted = adopted.map_err(|error| Error::Refused {
                    verdict: Verdict::Refused(error),
                })?;
                if adopted {
                    self.clear_changes();
                }
            }
        }
        self.activate_head();
        Ok(self.sequence())
    }

    fn apply_changes(&self, changes: &[(Offset, String)], processed: Offset) -> Result<(), Error> {
        for (at, body) in changes {
            match self.apply_from_peer(*at, body) {
                Verdict::Accepted(_) => {}
                // Already read from the log.
                Verdict::Refused(bundle::RecordError::Replayed) => {}
                verdict => return RefusedSnafu { verdict }.fail(),
            }
        }
        // Only a reader with the same last version has the sender's state and
        // may skip the records that the sender has processed.
        let last = changes.last().map(|(at, _)| *at);
        self.with_acceptor(|a| {
            if a.head().map(|h| h.accepted_offset) == last {
                a.mark_processed(processed);
            }
        });
        Ok(())
    }
}
