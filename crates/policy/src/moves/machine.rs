//! The states of one move. Events come in, actions go out; sending, waiting and reading are
//! the caller's part.

/// Where a stream continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Site {
    /// At the engine that leaves.
    Source,
    /// At the engine that has the copy.
    Destination,
}

/// The outcome of a call that copies a run's KV cache to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Copied {
        /// Name of the copy at the source and the destination.
        handle: String,
        /// Number of events that the run has made.
        events: u64,
    },
    /// The engine runs no such request.
    NoRun,
    /// Another call for this run is in progress.
    Busy,
    /// The destination has no room or could not be reached.
    Refused {
        /// Name of the memory that the source keeps of a run that it has stopped.
        handle: Option<String>,
    },
    /// The engine's process has ended, or its host cannot be reached.
    EngineGone,
    /// There was no valid answer, for this cause; the call may have been carried out.
    NoAnswer(String),
}

impl CopyOutcome {
    /// A short name for logs.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Copied { .. } => "copied",
            Self::NoRun => "no_run",
            Self::Busy => "busy",
            Self::Refused { .. } => "refused",
            Self::EngineGone => "engine_gone",
            Self::NoAnswer(_) => "no_answer",
        }
    }

    /// Whether it shows that the run has ended, if the call was to stop it.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        match self {
            Self::Copied { .. } | Self::NoRun | Self::EngineGone => true,
            Self::Refused { handle } => handle.is_some(),
            Self::Busy | Self::NoAnswer(_) => false,
        }
    }

    /// Name of a copy that is to be freed if it is not used.
    #[must_use]
    pub fn handle(self) -> Option<String> {
        match self {
            Self::Copied { handle, .. } => Some(handle),
            Self::Refused { handle } => handle,
            Self::NoRun | Self::Busy | Self::EngineGone | Self::NoAnswer(_) => None,
        }
    }
}

/// What happens to a stream that moves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The engine answered, or did not answer, the call of the last [`Action::Copy`],
    /// [`Action::CopyElsewhere`] or [`Action::Stop`].
    Answered(CopyOutcome),
    /// There is no other destination to copy to.
    NoDestination,
    /// The source's connection has ended without the stream's end, and all that it
    /// delivered was passed on. Also reported when the entry itself closed it after
    /// [`Action::AwaitClose`].
    SourceClosed,
    /// The stream has ended as a whole, or its caller has left.
    StreamEnded,
    /// The engine of the last [`Action::Continue`] runs the stream.
    Continued,
    /// That engine did not run the request and never will.
    ContinueRefused,
    /// The request to that engine failed and may have run.
    ContinueFailed,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Copy the run to the chosen destination while it continues.
    Copy,
    /// Choose another destination and copy the run there.
    CopyElsewhere,
    /// Copy what is new and stop the run; also after the source's connection has ended.
    Stop,
    /// The run has stopped: pass on what its connection still delivers, and close the
    /// connection if it does not end soon.
    AwaitClose,
    /// Send the request again, to continue from the copy.
    Continue {
        /// The engine to send it to.
        at: Site,
        /// Name of the copy.
        handle: String,
    },
    /// The stream goes on at the source.
    Stay,
    /// The source's stream has ended and nothing is left to continue from. The handle, if
    /// any, was not used and is to be freed.
    End {
        /// A copy that is not used.
        unused: Option<String>,
    },
    /// Free a copy that is not used.
    Free {
        /// Name of the copy.
        handle: String,
    },
}

/// How a move has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The stream continues at the destination.
    Moved,
    /// The stream continues at the source after it was stopped there.
    Returned,
    /// No copy was made; the stream stays at the source.
    Refused,
    /// The stream has ended, or its caller has left, before it continued elsewhere.
    Ended,
    /// The stream could not be continued anywhere.
    Lost,
}

impl Outcome {
    /// A short name for logs and metric labels.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Moved => "moved",
            Self::Returned => "returned",
            Self::Refused => "refused",
            Self::Ended => "ended",
            Self::Lost => "lost",
        }
    }
}

/// The state of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not begun.
    Idle,
    /// The run is copied and continues; with the number of the attempt.
    Copying(u32),
    /// The rest is copied and the run stops.
    Stopping,
    /// The run has stopped and is to continue there once its connection has ended.
    Stopped(Site),
    /// It is unknown whether the run stops. The stream goes on as long as its connection,
    /// and the first copy is kept. The run is stopped again once that has ended.
    Unconfirmed,
    /// The request was sent again.
    Continuing(Site),
    /// The stream continues after the move.
    Done(Outcome),
    /// Nothing more is done.
    GivenUp(Outcome),
}

/// Destinations to which a run is copied before its stream stays.
const MAX_COPIES: u32 = 2;

/// One move of a stream from an engine that leaves.
///
/// The stream continues elsewhere only after the source's connection has ended and the source
/// was shown not to run it any more: a run can outlive its connection. A handle is used again
/// only after an engine has refused it.
#[derive(Debug, Clone)]
pub struct Move {
    phase: Phase,
    /// Whether the source's connection has ended.
    closed: bool,
    /// Whether a copy call waits for its answer.
    calling: bool,
    /// Whether the latest call to stop the run began after the connection had ended.
    stopped_late: bool,
    /// Whether the source was shown not to run the request any more.
    run_ended: bool,
    /// Name of the latest copy.
    copy: Option<String>,
}

impl Default for Move {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            closed: false,
            calling: false,
            stopped_late: false,
            run_ended: false,
            copy: None,
        }
    }
}

impl Move {
    /// Begins the move to a chosen destination. Does nothing if it has begun before or the
    /// source's connection has ended.
    pub fn begin(&mut self) -> Option<Action> {
        if self.phase != Phase::Idle || self.closed {
            return None;
        }
        self.phase = Phase::Copying(1);
        self.calling = true;
        Some(Action::Copy)
    }

    /// Whether the source's connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The state.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// How the move has ended, if it has.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self.phase {
            Phase::Done(outcome) | Phase::GivenUp(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Whether the move occupies its source and destination: it has begun and not ended,
    /// and it is not just left to the source's connection.
    #[must_use]
    pub fn in_progress(&self) -> bool {
        match self.phase {
            Phase::Copying(_) | Phase::Stopping | Phase::Stopped(_) | Phase::Continuing(_) => true,
            Phase::Idle | Phase::Unconfirmed | Phase::Done(_) | Phase::GivenUp(_) => self.calling,
        }
    }

    /// Applies an event; returns what is to be done next. Events that the state does not
    /// expect change nothing.
    pub fn apply(&mut self, event: Event) -> Option<Action> {
        match event {
            Event::Answered(outcome) if self.calling => {
                self.calling = false;
                self.answered(outcome)
            }
            Event::Answered(_) => None,
            Event::NoDestination if self.phase == Phase::Copying(MAX_COPIES) => {
                self.calling = false;
                self.refused()
            }
            Event::SourceClosed => self.source_closed(),
            Event::StreamEnded => self.stream_ended(),
            Event::Continued => {
                if let Phase::Continuing(site) = self.phase {
                    self.copy = None;
                    self.phase = Phase::Done(match site {
                        Site::Source => Outcome::Returned,
                        Site::Destination => Outcome::Moved,
                    });
                }
                None
            }
            Event::ContinueRefused => match self.phase {
                Phase::Continuing(Site::Destination) => self.continue_at(Site::Source),
                Phase::Continuing(Site::Source) => self.lose(),
                _ => None,
            },
            Event::ContinueFailed => match self.phase {
                Phase::Continuing(_) => {
                    // The handle may have been used.
                    self.copy = None;
                    self.lose()
                }
                _ => None,
            },
            Event::NoDestination => None,
        }
    }

    fn answered(&mut self, outcome: CopyOutcome) -> Option<Action> {
        self.run_ended |= self.phase == Phase::Stopping && outcome.is_certain();
        match (self.phase, outcome) {
            (Phase::Copying(_), CopyOutcome::Copied { handle, .. }) => {
                self.copy = Some(handle);
                self.stop()
            }
            (Phase::Copying(attempt), CopyOutcome::Refused { .. } | CopyOutcome::NoAnswer(_))
                if attempt < MAX_COPIES && !self.closed =>
            {
                self.phase = Phase::Copying(attempt + 1);
                self.calling = true;
                Some(Action::CopyElsewhere)
            }
            (Phase::Copying(_), _) => self.refused(),
            (Phase::Stopping, CopyOutcome::Copied { handle, .. }) => {
                self.copy = Some(handle);
                self.stopped(Site::Destination)
            }
            (
                Phase::Stopping,
                CopyOutcome::Refused {
                    handle: Some(handle),
                },
            ) => {
                self.copy = Some(handle);
                self.stopped(Site::Source)
            }
            (Phase::Stopping, _) if self.closed && self.run_ended => {
                self.continue_at(Site::Destination)
            }
            (Phase::Stopping, _) if self.closed && !self.stopped_late => self.stop(),
            (Phase::Stopping, _) if self.closed => self.lose(),
            (Phase::Stopping, _) => {
                self.phase = Phase::Unconfirmed;
                Some(Action::Stay)
            }
            // The stream ended while the call was in progress.
            (_, outcome) => {
                let handle = outcome.handle().or_else(|| self.copy.take())?;
                self.copy = None;
                Some(Action::Free { handle })
            }
        }
    }

    fn source_closed(&mut self) -> Option<Action> {
        self.closed = true;
        match self.phase {
            // The answer decides where the stream continues.
            Phase::Copying(_) | Phase::Stopping => None,
            Phase::Stopped(site) => self.continue_at(site),
            Phase::Unconfirmed if self.run_ended => self.continue_at(Site::Destination),
            Phase::Unconfirmed => self.stop(),
            Phase::Continuing(_) | Phase::Done(_) => None,
            Phase::Idle | Phase::GivenUp(_) => Some(Action::End { unused: None }),
        }
    }

    fn stream_ended(&mut self) -> Option<Action> {
        if self.outcome().is_some() {
            return None;
        }
        self.phase = Phase::GivenUp(Outcome::Ended);
        // An answer that is still to come may carry a newer handle.
        if self.calling {
            return None;
        }
        self.copy.take().map(|handle| Action::Free { handle })
    }

    fn stop(&mut self) -> Option<Action> {
        self.phase = Phase::Stopping;
        self.calling = true;
        self.stopped_late = self.closed;
        Some(Action::Stop)
    }

    fn stopped(&mut self, site: Site) -> Option<Action> {
        if self.closed {
            return self.continue_at(site);
        }
        self.phase = Phase::Stopped(site);
        Some(Action::AwaitClose)
    }

    fn continue_at(&mut self, site: Site) -> Option<Action> {
        self.phase = Phase::Continuing(site);
        match &self.copy {
            Some(handle) => Some(Action::Continue {
                at: site,
                handle: handle.clone(),
            }),
            None => self.lose(),
        }
    }

    /// No copy could be made.
    fn refused(&mut self) -> Option<Action> {
        self.phase = Phase::GivenUp(Outcome::Refused);
        match self.closed {
            true => Some(Action::End { unused: None }),
            false => Some(Action::Stay),
        }
    }

    fn lose(&mut self) -> Option<Action> {
        self.phase = Phase::GivenUp(Outcome::Lost);
        Some(Action::End {
            unused: self.copy.take(),
        })
    }
}
