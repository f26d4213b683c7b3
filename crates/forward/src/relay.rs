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
use crate::exchange::ResponseBody;
use crate::state::OpenCall;

/// A stream on its way to a caller.
#[derive(Debug)]
pub struct Relay {
    call: Rc<Call>,
    body: ResponseBody,
    splitter: EventSplitter,
    /// Bytes that came before the caller was answered.
    first_bytes: Option<Bytes>,
    /// The number of the last event that was passed on.
    last_event: Option<u64>,
    /// Whether each event's number was one more than the one before.
    consecutive: bool,
    /// Whether the next event is the first from another server.
    just_resumed: bool,
    /// Whether a part of it came from another server.
    resumed: bool,
    /// Events passed on.
    event_count: u64,
    /// When the last event was passed on, or the call came.
    last_sent: Instant,
    /// How long after the call the first event was passed on.
    first_delay: Duration,
    /// The longest pause between two events.
    max_pause: Duration,
    /// Servers that the call was sent to.
    tried: Vec<Rc<str>>,
    /// Keeps the entry from stopping meanwhile.
    _open: OpenCall,
}

/// Why a stream ended before its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StreamError {
    /// The route's time is over.
    #[snafu(display("step=relay peer={server}: the route's timeout has passed"))]
    TimedOut {
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
    pub fn new(
        call: Rc<Call>,
        body: ResponseBody,
        first: Bytes,
        tried: Vec<Rc<str>>,
        open: OpenCall,
    ) -> Self {
        Self {
            last_event: call.parsed_headers.last_event,
            body,
            splitter: EventSplitter::default(),
            first_bytes: Some(first),
            event_count: 0,
            consecutive: true,
            just_resumed: false,
            resumed: false,
            last_sent: call.received_at,
            first_delay: Duration::ZERO,
            max_pause: Duration::ZERO,
            tried,
            call,
            _open: open,
        }
    }

    /// The stream's bytes as they come. It ends with an error when it is not
    /// whole, which closes the caller's connection instead of ending the
    /// answer.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, StreamError>> {
        futures_util::stream::unfold(Some(Box::new(self)), |relay| async {
            let mut relay = relay?;
            match relay.next_chunk().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => {
                    // A stream of one event has no pause.
                    if relay.event_count > 1 && !relay.resumed {
                        relay.call.record_pause(relay.max_pause);
                    }
                    if relay.body.framed {
                        relay.call.record_completed();
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
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            if let Some(bytes) = self.complete_events()? {
                return Ok(Some(bytes));
            }
            let next = match self.first_bytes.take() {
                Some(first) => Ok(Ok(Some(first))),
                None => {
                    let until: Instant = self.call.deadline;
                    tokio::time::timeout_at(until.into(), self.body.next()).await
                }
            };
            match next {
                Err(_) => {
                    return TimedOutSnafu {
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
                Ok(Ok(None)) => self.fail_over("ended inside an event").await?,
                Ok(Err(cause)) => self.fail_over(&cause).await?,
            }
        }
    }

    /// The events that are whole by now, as one piece.
    fn complete_events(&mut self) -> Result<Option<Bytes>, StreamError> {
        let mut piece = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(last), Some(number)) = (self.last_event, event.id) {
                self.check_sequence(last, number)?;
            }
            self.last_event = event.id.or(self.last_event);
            self.event_count += 1;
            piece.extend_from_slice(&event.bytes);
        }
        if piece.is_empty() {
            return Ok(None);
        }
        self.record_timing();
        Ok(Some(piece.into()))
    }

    /// Checks that event `number` may follow event `last`. Passed on all the
    /// same, the caller would have a stream with a hole or a doubled event
    /// that looks whole. Numbers only have to grow within one server's stream;
    /// where they grew by one, another server has to go on by one as well.
    fn check_sequence(&mut self, last: u64, number: u64) -> Result<(), StreamError> {
        let next = number == last + 1;
        let hole = std::mem::take(&mut self.just_resumed) && self.consecutive && !next;
        if number <= last || hole {
            let cause = format!("event {number} after {last}");
            let server = self.server();
            return BrokenSnafu { server, cause }.fail();
        }
        self.consecutive &= next;
        Ok(())
    }

    /// Notes when events are passed on, which is what callers notice.
    fn record_timing(&mut self) {
        let now = self.call.state.clock.now();
        let passed = now.saturating_duration_since(self.last_sent);
        if self.first_delay.is_zero() {
            self.first_delay = passed;
            metrics::histogram!("pimentocart_first_event_seconds").record(passed);
        } else {
            self.max_pause = self.max_pause.max(passed);
            self.body.record_pause(passed);
            metrics::histogram!("pimentocart_pause_seconds").record(passed);
        }
        self.last_sent = now;
    }

    /// Goes on at another server after the last whole event, if that may be.
    async fn fail_over(&mut self, cause: &str) -> Result<(), StreamError> {
        let broken = |server: String, cause: &str| StreamError::Broken {
            server,
            cause: cause.to_owned(),
        };
        let from = self.server();
        self.call.record_broken(&self.body.server);
        self.call
            .state
            .balancer
            .borrow_mut()
            .call_failed(self.call.state.clock.now(), &from);
        let resumable = self.call.route.kind == policy::routes::CallKind::Resumable;
        if !resumable || self.last_event.is_none() && self.event_count > 0 {
            return Err(broken(from, cause));
        }
        self.splitter.take_pending();
        let went = Rc::clone(&self.call)
            .resume(self.last_event, &mut self.tried)
            .await;
        let Some(body) = went else {
            return Err(broken(from, cause));
        };
        info!("stream resumed", kv: {
            id = self.call.request_id(),
            from = from.as_str(),
            at = &*body.server.id,
            after = self.last_event.unwrap_or(0),
            cause
        });
        self.body = body;
        self.just_resumed = true;
        self.resumed = true;
        Ok(())
    }

    fn server(&self) -> String {
        let ServerRecord { id, .. } = &self.body.server;
        id.to_string()
    }

    fn log(&self, outcome: &str) {
        let age = self
            .last_sent
            .saturating_duration_since(self.call.received_at);
        metrics::histogram!("pimentocart_answer_seconds", "kind" => "stream").record(age);
        info!("stream ended", kv: {
            id = self.call.request_id(),
            route = self.call.route.name.as_str(),
            server = &*self.body.server.id,
            events = self.event_count,
            first_ms = millis(self.first_delay),
            pause_ms = millis(self.max_pause),
            ms = self.call.age_ms(),
            outcome
        });
    }
}

/// Whole milliseconds, for logs.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
