//! Passing a stream on, and going on with it at another server.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use policy::balance::ServerRecord;
use snafu::Snafu;
use spdlog::info;

use crate::call::Call;
use crate::events::EventSplitter;
use crate::exchange::Body;
use crate::state::Open;

/// A stream on its way to a caller.
#[derive(Debug)]
pub struct Relay {
    call: Rc<Call>,
    body: Body,
    splitter: EventSplitter,
    /// Bytes that came before the caller was answered.
    first: Option<Bytes>,
    /// The number of the last event that was passed on.
    last: Option<u64>,
    /// Whether each event's number was one more than the one before.
    steady: bool,
    /// Whether the next event is the first from another server.
    joined: bool,
    /// Whether a part of it came from another server.
    resumed: bool,
    /// Events passed on.
    count: u64,
    /// When the last event was passed on, or the call came.
    newest: Instant,
    /// How long after the call the first event was passed on.
    first_after: Duration,
    /// The longest pause between two events.
    pause: Duration,
    /// Servers that the call was sent to.
    tried: Vec<Rc<str>>,
    /// Keeps the entry from stopping meanwhile.
    _open: Open,
}

/// Why a stream ended before its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Cut {
    /// The route's time is over.
    #[snafu(display("step=relay peer={server}: the route's timeout has passed"))]
    Late {
        /// The server.
        server: String,
    },
    /// The server broke off and nobody can go on.
    #[snafu(display("step=relay peer={server}: {cause}"))]
    Broken {
        /// The server.
        server: String,
        /// What was seen.
        cause: String,
    },
}

impl Relay {
    /// Takes over a stream of which `first` has come.
    #[must_use]
    pub fn new(call: Rc<Call>, body: Body, first: Bytes, tried: Vec<Rc<str>>, open: Open) -> Self {
        Self {
            last: call.ask.last_event,
            body,
            splitter: EventSplitter::default(),
            first: Some(first),
            count: 0,
            steady: true,
            joined: false,
            resumed: false,
            newest: call.came,
            first_after: Duration::ZERO,
            pause: Duration::ZERO,
            tried,
            call,
            _open: open,
        }
    }

    /// The stream's bytes as they come. It ends with an error when it is not
    /// whole, which closes the caller's connection instead of ending the
    /// answer.
    pub fn events(self) -> impl Stream<Item = Result<Bytes, Cut>> {
        futures_util::stream::unfold(Some(Box::new(self)), |relay| async {
            let mut relay = relay?;
            match relay.step().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => {
                    // A stream of one event has no pause.
                    if relay.count > 1 && !relay.resumed {
                        relay.call.paused(relay.pause);
                    }
                    if relay.body.framed {
                        relay.call.served();
                    }
                    relay.log("whole");
                    None
                }
                Err(cut) => {
                    relay.log(&cut.to_string());
                    Some((Err(cut), None))
                }
            }
        })
    }

    /// The next bytes for the caller; none at the end.
    async fn step(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            if let Some(bytes) = self.whole_events()? {
                return Ok(Some(bytes));
            }
            let next = match self.first.take() {
                Some(first) => Ok(Ok(Some(first))),
                None => {
                    let until: Instant = self.call.until;
                    tokio::time::timeout_at(until.into(), self.body.next()).await
                }
            };
            match next {
                Err(_) => {
                    return LateSnafu {
                        server: self.server(),
                    }
                    .fail();
                }
                Ok(Ok(Some(bytes))) => self.splitter.push(&bytes),
                Ok(Ok(None)) if self.splitter.pending_len() == 0 => return Ok(None),
                // Whole by its framing, whatever its last bytes look like; what
                // follows another server's part must be events.
                Ok(Ok(None)) if self.body.framed && !self.resumed => {
                    return Ok(Some(self.splitter.take_pending()));
                }
                Ok(Ok(None)) => self.go_on("ended inside an event").await?,
                Ok(Err(cause)) => self.go_on(&cause).await?,
            }
        }
    }

    /// The events that are whole by now, as one piece.
    fn whole_events(&mut self) -> Result<Option<Bytes>, Cut> {
        let mut piece = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(last), Some(number)) = (self.last, event.id) {
                self.check(last, number)?;
            }
            self.last = event.id.or(self.last);
            self.count += 1;
            piece.extend_from_slice(&event.bytes);
        }
        if piece.is_empty() {
            return Ok(None);
        }
        self.time();
        Ok(Some(piece.into()))
    }

    /// Checks that event `number` may follow event `last`. Passed on all the
    /// same, the caller would have a stream with a hole or a doubled event
    /// that looks whole. Numbers only have to grow within one server's stream;
    /// where they grew by one, another server has to go on by one as well.
    fn check(&mut self, last: u64, number: u64) -> Result<(), Cut> {
        let next = number == last + 1;
        let hole = std::mem::take(&mut self.joined) && self.steady && !next;
        if number <= last || hole {
            let cause = format!("event {number} after {last}");
            let server = self.server();
            return BrokenSnafu { server, cause }.fail();
        }
        self.steady &= next;
        Ok(())
    }

    /// Notes when events are passed on, which is what callers notice.
    fn time(&mut self) {
        let now = self.call.state.clock.now();
        let passed = now.saturating_duration_since(self.newest);
        if self.first_after.is_zero() {
            self.first_after = passed;
            metrics::histogram!("pimentocart_first_event_seconds").record(passed);
        } else {
            self.pause = self.pause.max(passed);
            self.body.paused(passed);
            metrics::histogram!("pimentocart_pause_seconds").record(passed);
        }
        self.newest = now;
    }

    /// Goes on at another server after the last whole event, if that may be.
    async fn go_on(&mut self, cause: &str) -> Result<(), Cut> {
        let broken = |server: String, cause: &str| Cut::Broken {
            server,
            cause: cause.to_owned(),
        };
        let from = self.server();
        self.call.broke(&self.body.server);
        self.call
            .state
            .balance
            .borrow_mut()
            .call_failed(self.call.state.clock.now(), &from);
        let resumable = self.call.route.kind == policy::routes::CallKind::Resumable;
        if !resumable || self.last.is_none() && self.count > 0 {
            return Err(broken(from, cause));
        }
        self.splitter.take_pending();
        let went = Rc::clone(&self.call)
            .resume(self.last, &mut self.tried)
            .await;
        let Some(body) = went else {
            return Err(broken(from, cause));
        };
        info!("stream resumed", kv: {
            id = self.call.name(),
            from = from.as_str(),
            at = &*body.server.id,
            after = self.last.unwrap_or(0),
            cause
        });
        self.body = body;
        self.joined = true;
        self.resumed = true;
        Ok(())
    }

    fn server(&self) -> String {
        let ServerRecord { id, .. } = &self.body.server;
        id.to_string()
    }

    fn log(&self, outcome: &str) {
        let age = self.newest.saturating_duration_since(self.call.came);
        metrics::histogram!("pimentocart_answer_seconds", "kind" => "stream").record(age);
        info!("stream ended", kv: {
            id = self.call.name(),
            route = self.call.route.name.as_str(),
            server = &*self.body.server.id,
            events = self.count,
            first_ms = millis(self.first_after),
            pause_ms = millis(self.pause),
            ms = self.call.age_ms(),
            outcome
        });
    }
}

/// Whole milliseconds, for logs.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
