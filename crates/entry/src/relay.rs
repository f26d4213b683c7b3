//! Passing the answer's pieces on.

use std::rc::Rc;
use std::time::Duration;

use base::ids::Ticket;
use base::reason::{Ran, Refusal};
use wire::{End, Piece, Pull, Pulled};

use crate::dispatch::Granted;
use crate::refuse::Refused;
use crate::state::State;

/// How long one pull may be held.
const PULL_HOLD: Duration = Duration::from_millis(1000);

/// How often a pull is tried again before the outcome is called unknown.
const PULL_TRIES: u32 = 3;

/// The answer of one request as it comes in.
pub struct Answer {
    state: Rc<State>,
    ticket: Ticket,
    granted: Granted,
    /// The number of the next piece.
    next: u32,
    /// Set once the answer is whole.
    whole: bool,
}

/// What came in.
pub enum Part {
    /// Pieces, in order.
    Pieces(Vec<Piece>),
    /// The end of a whole answer, after its last pieces.
    Whole {
        /// The last pieces.
        pieces: Vec<Piece>,
        /// HTTP status of a plain service's answer.
        status: u16,
        /// Why the answer ended, or its content type.
        finish: String,
    },
}

impl Answer {
    /// Starts to take in the answer of a granted request.
    #[must_use]
    pub fn new(state: Rc<State>, ticket: Ticket, granted: Granted) -> Self {
        Self {
            state,
            ticket,
            granted,
            next: 0,
            whole: false,
        }
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// Returns how the answer broke off.
    pub async fn part(&mut self) -> Result<Part, Refused> {
        let mut failed = 0;
        loop {
            let wait_ms = u32::try_from(PULL_HOLD.as_millis()).unwrap_or(u32::MAX);
            let ask = Pull {
                ticket: self.ticket,
                from: self.next,
                wait_ms,
            };
            let reply = match self.granted.server.peer.pull(self.state.stamp(), ask).await {
                Ok(reply) => reply,
                Err(_) if failed < PULL_TRIES => {
                    failed += 1;
                    continue;
                }
                Err(_) => return Err(self.lost()),
            };
            self.granted.server.note(self.state.clock.now(), &reply);
            if reply.incarnation != self.granted.incarnation {
                return Err(self.lost());
            }
            if let Some(part) = self.take(reply.body)? {
                return Ok(part);
            }
        }
    }

    /// Checks what was pulled and counts it.
    fn take(&mut self, pulled: Pulled) -> Result<Option<Part>, Refused> {
        let Pulled::Pieces {
            first,
            mut pieces,
            end,
        } = pulled
        else {
            return Err(self.lost());
        };
        // A piece missing between would give the caller another answer than
        // the one that was made.
        let Some(skip) = self.next.checked_sub(first) else {
            return Err(self.lost());
        };
        pieces.drain(..pieces.len().min(skip as usize));
        self.next += u32::try_from(pieces.len()).unwrap_or(u32::MAX);

        match end {
            None if pieces.is_empty() => Ok(None),
            None => Ok(Some(Part::Pieces(pieces))),
            Some(End::Whole {
                count,
                status,
                finish,
                ..
            }) if count == self.next => {
                self.whole = true;
                Ok(Some(Part::Whole {
                    pieces,
                    status,
                    finish,
                }))
            }
            Some(End::Whole { .. }) => Err(self.lost()),
            Some(End::Broken { reason, ran }) => {
                let ran = if self.next > 0 { Ran::Partial } else { ran };
                let hint = "the backend server failed".to_owned();
                Err(Refused {
                    reason,
                    ran,
                    after: None,
                    hint,
                })
            }
        }
    }

    /// The answer can no longer be had from the sidecar.
    fn lost(&self) -> Refused {
        let (reason, ran) = match self.next {
            0 => (Refusal::OutcomeUnknown, Ran::Unknown),
            _ => (Refusal::BrokenOff, Ran::Partial),
        };
        let hint = "the backend server's host became unreachable".to_owned();
        Refused {
            reason,
            ran,
            after: None,
            hint,
        }
    }
}

impl Drop for Answer {
    /// A caller that went away leaves a request that runs for nobody.
    fn drop(&mut self) {
        if self.whole {
            return;
        }
        let (state, server) = (Rc::clone(&self.state), Rc::clone(&self.granted.server));
        let ticket = self.ticket;
        actix_rt::spawn(async move {
            let _ = server.peer.cancel(state.stamp(), ticket).await;
        });
    }
}
