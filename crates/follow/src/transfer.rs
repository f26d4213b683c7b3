//! How one daemon hands its bundle to another, so that a version spreads
//! while the log is down.
//!
//! The receiver verifies every signature against what it trusts; the sender
//! is believed only for the offsets.

use base::ids::{BundleSequence, Offset};
use bundle::{Checkpoint, Verdict};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::state::BundleState;

/// What one daemon sends to another that is behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Transfer {
    /// The changes since the receiver's version.
    Changes {
        /// Each change's offset and record, in order.
        changes: Vec<(Offset, String)>,
        /// The last offset that the sender has judged.
        #[serde(rename = "judged")]
        processed: Offset,
    },
    /// The whole state.
    Checkpoint(Box<Checkpoint>),
}

/// Why a transfer was of no use.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is not a transfer.
    #[snafu(display("step=read_transfer: {source}"))]
    Unreadable {
        /// What the parser found.
        source: serde_json::Error,
    },
    /// It does not hold against what this daemon trusts.
    #[snafu(display("step=judge_transfer: {verdict}"))]
    Refused {
        /// What it was found to be.
        verdict: Verdict,
    },
}

impl Transfer {
    /// The transfer as it travels.
    #[must_use]
    pub fn bytes(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

impl BundleState {
    /// Takes over what a peer sent, if it is newer and holds.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when it does not hold; what was held stays then.
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
                // The log was faster than the peer.
                Verdict::Refused(bundle::RecordError::Replayed) => {}
                verdict => return RefusedSnafu { verdict }.fail(),
            }
        }
        // Only a reader whose last version is the sender's last one has the
        // sender's state, so only it may pass over what the sender judged.
        let last = changes.last().map(|(at, _)| *at);
        self.with_acceptor(|a| {
            if a.head().map(|h| h.accepted_offset) == last {
                a.mark_processed(processed);
            }
        });
        Ok(())
    }
}
