//! Relays a stream of events to a caller and resumes it at another server when
//! it breaks.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use policy::balance::ServerRecord;
use policy::memory::ANSWER_RESERVE;
use snafu::Snafu;
use spdlog::info;

use crate::call::{Call, UNPROVEN_END};
use crate::events::EventSplitter;
use crate::exchange::ResponseBody;
use crate::memory::AnswerHold;
use crate::moves::{self, MovableStream};
use crate::reply::SLICE_BYTES;
use crate::state::OpenCall;

/// Longest event of a stream, in bytes. One of this size fits into the bytes that are kept free
/// for answers; a longer one is a fault of the server.
const MAX_EVENT_BYTES: usize = ANSWER_RESERVE / 2;

/// Events up to this size, in bytes, are covered by the cost of the caller's connection.
const SMALL_EVENT_BYTES: usize = 8 << 10;

/// A stream that is being relayed to a caller.
#[derive(Debug)]
pub struct Relay {
    call: Rc<Call>,
    body: ResponseBody,
    splitter: EventSplitter,
    /// Bytes received before the reply to the caller was started.
    first_bytes: Option<Bytes>,
    /// The number of the last event sent to the caller.
    last_event: Option<u64>,
    /// Whether each event's number was one more than the one before. For a stream that the
    /// caller takes up, of which the entry has seen nothing: whether it was so in the latest
    /// whole stream of its service.
    consecutive: bool,
    /// Whether the next event is the first from another server, or of a stream that the
    /// caller takes up.
    just_resumed: bool,
    /// Whether any part of the stream came from another server.
    resumed: bool,
    /// Events sent to the caller.
    event_count: u64,
    /// When the last event was sent; at first, when the call was received.
    last_sent: Instant,
    /// Time from receiving the call to sending the first event.
    first_delay: Duration,
    /// The longest gap between two events.
    max_pause: Duration,
    /// Servers that the call was sent to.
    tried: Vec<Rc<str>>,
    /// The share of the entry's memory that its large events take.
    held: AnswerHold,
    /// Set while the stream can be moved to another engine.
    movable: Option<MovableStream>,
    /// Counts the call as open, so that the entry does not stop before its end.
    _open: OpenCall,
}

/// Why a stream ended early.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StreamError {
    /// The call's deadline has passed.
    #[snafu(display("step=relay peer={server}: the call's deadline has passed"))]
    TimedOut {
        /// The server.
        server: String,
    },
    /// The connection to the server broke and the stream could not be resumed.
    #[snafu(display("step=relay peer={server}: {cause}"))]
    Broken {
        /// The server.
        server: String,
        /// The error of the connection or of the event sequence.
        cause: String,
    },
}

impl Relay {
    /// Relays a stream of which the bytes `first` have arrived.
    #[must_use]
    pub fn new(
        call: Rc<Call>,
        body: ResponseBody,
        first: Bytes,
        tried: Vec<Rc<str>>,
        open: OpenCall,
    ) -> Self {
        let last_event = call.parsed_headers.last_event;
        Self {
            last_event,
            movable: MovableStream::register(&call, &body, 0),
            body,
            splitter: EventSplitter::default(),
            first_bytes: Some(first),
            event_count: 0,
            consecutive: last_event.is_none() || !call.state.skips_numbers(&call.service),
            just_resumed: last_event.is_some(),
            resumed: false,
            last_sent: call.received_at,
            first_delay: Duration::ZERO,
            max_pause: Duration::ZERO,
            tried,
            held: call.state.memory.begin_answer(),
            call,
            _open: open,
        }
    }

    /// The stream's bytes as they arrive. If the stream is incomplete it ends
    /// with an error, which closes the caller's connection instead of ending
    /// the response.
    pub fn into_stream(self) -> impl Stream<Item = Result<Bytes, StreamError>> {
        let chunks = futures_util::stream::unfold(Some(Box::new(self)), |relay| async {
            let mut relay = relay?;
            match relay.next_chunk().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => {
                    // A stream of one event has no gap.
                    if relay.event_count > 1 && !relay.resumed {
                        relay.call.record_pause(relay.max_pause);
                    }
                    if relay.event_count > 1 {
                        let skips = !relay.consecutive;
                        relay.call.state.record_numbers(&relay.call.service, skips);
                    }
                    relay.call.record_completed();
                    relay.call.record_sound();
                    relay.call.record_copy_freed();
                    relay.log("whole");
                    None
                }
                Err(error) => {
                    relay.log(&error.to_string());
                    Some((Err(error), None))
                }
            }
        });
        chunks.flat_map(|chunk| futures_util::stream::iter(parts(chunk)))
    }

    /// Returns the next bytes for the caller, or `None` at the end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, StreamError> {
        self.release_memory();
        loop {
            if let Some(bytes) = self.complete_events()? {
                return Ok(Some(bytes));
            }
            let next = match self.first_bytes.take() {
                Some(first) => Ok(Ok(Some(first))),
                None => {
                    let deadline: Instant = self.call.deadline;
                    let next = moves::read(&mut self.body, self.movable.as_ref());
                    tokio::time::timeout_at(deadline.into(), next).await
                }
            };
            match next {
                Err(_) => return Err(self.timed_out()),
                Ok(Ok(Some(bytes))) => {
                    if self.splitter.pending_len() + bytes.len() > MAX_EVENT_BYTES {
                        self.fail_over("event exceeds the buffer limit").await?;
                        continue;
                    }
                    self.hold_memory(bytes.len()).await?;
                    self.splitter.push(&bytes);
                }
                Ok(Ok(None)) if self.splitter.pending_len() == 0 => {
                    if self.is_whole().await? {
                        return Ok(None);
                    }
                    self.call.record_unproven_end(&self.body.server);
                    self.resume(UNPROVEN_END).await?;
                }
                // The response is complete by its framing, even if its last
                // bytes are no complete event. After a resumption only complete
                // events may follow.
                Ok(Ok(None)) if self.body.framed && !self.resumed => {
                    return Ok(Some(self.splitter.take_pending()));
                }
                Ok(Ok(None)) => self.fail_over("stream ended inside an event").await?,
                Ok(Err(cause)) => self.source_closed(&cause).await?,
            }
        }
    }

    /// Waits until there is memory for the current event with `more` bytes, and for the buffers
    /// of the connection to the server.
    async fn hold_memory(&mut self, more: usize) -> Result<(), StreamError> {
        let event = self.splitter.pending_len() + more;
        if event <= SMALL_EVENT_BYTES {
            return Ok(());
        }
        let deadline: Instant = self.call.deadline;
        let hold = self.held.grow(event + 2 * more);
        let held = tokio::time::timeout_at(deadline.into(), hold).await;
        held.map_err(|_| self.timed_out())
    }

    /// Releases the memory of an event that was passed on. The next one may be long in coming,
    /// and others wait for the memory.
    fn release_memory(&mut self) {
        if self.held.bytes() > 0 && self.splitter.pending_len() == 0 {
            // Its buffer keeps the size of the largest event.
            self.splitter = EventSplitter::default();
            self.held.release();
        }
    }

    /// Whether the stream, which has ended after a complete event, is whole.
    async fn is_whole(&mut self) -> Result<bool, StreamError> {
        let deadline: Instant = self.call.deadline;
        let proof = self.body.is_whole();
        let proven = tokio::time::timeout_at(deadline.into(), proof).await;
        proven.map_err(|_| self.timed_out())
    }

    fn timed_out(&self) -> StreamError {
        let server = self.server();
        TimedOutSnafu { server }.build()
    }

    /// Takes the events that are complete so far, as one chunk.
    fn complete_events(&mut self) -> Result<Option<Bytes>, StreamError> {
        let mut chunk = Vec::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(last), Some(number)) = (self.last_event, event.id) {
                self.check_sequence(last, number)?;
            }
            self.last_event = event.id.or(self.last_event);
            self.event_count += 1;
            chunk.extend_from_slice(&event.bytes);
        }
        if chunk.is_empty() {
            return Ok(None);
        }
        self.record_timing();
        Ok(Some(chunk.into()))
    }

    /// Checks that event `number` may follow event `last`. If it were passed on
    /// anyway, the caller would get a stream with a missing or duplicate event
    /// that looks complete. Within one server's stream the numbers only have to
    /// increase; if they increased by one so far, the next server has to
    /// continue by one as well, and so has the server at which a caller takes a
    /// stream up.
    fn check_sequence(&mut self, last: u64, number: u64) -> Result<(), StreamError> {
        let next = last.checked_add(1) == Some(number);
        let gap = std::mem::take(&mut self.just_resumed) && self.consecutive && !next;
        if number <= last || gap {
            let cause = format!("event {number} after {last}");
            let server = self.server();
            return BrokenSnafu { server, cause }.fail();
        }
        self.consecutive &= next;
        Ok(())
    }

    /// Records the time to the first event, or the gap since the last one, as
    /// the caller sees it.
    fn record_timing(&mut self) {
        let now = self.call.state.clock.now();
        let elapsed = now.saturating_duration_since(self.last_sent);
        if self.first_delay.is_zero() {
            self.first_delay = elapsed;
            metrics::histogram!("pimentocart_first_event_seconds").record(elapsed);
        } else {
            self.max_pause = self.max_pause.max(elapsed);
            self.body.record_pause(elapsed);
            metrics::histogram!("pimentocart_pause_seconds").record(elapsed);
        }
        self.last_sent = now;
        self.call.record_events(now);
        if let Some(stream) = &self.movable {
            stream.record_progress(now, self.event_count, self.last_event);
        }
    }

    /// Continues the stream where it was moved to, or else fails over.
    async fn source_closed(&mut self, cause: &str) -> Result<(), StreamError> {
        if let Some(stream) = self.movable.take() {
            // Two engines must not run the stream, so the connection that may still be open
            // is closed before the request is sent again.
            self.body.close();
            let continued = stream.continue_elsewhere(&self.call, self.last_sent);
            if let Some((body, movable)) = continued.await {
                self.splitter.take_pending();
                self.body = body;
                self.movable = movable;
                self.just_resumed = true;
                self.resumed = true;
                return Ok(());
            }
        }
        self.fail_over(cause).await
    }

    /// Resumes the stream after its connection broke.
    async fn fail_over(&mut self, cause: &str) -> Result<(), StreamError> {
        self.call.record_broken(&self.body.server);
        self.resume(cause).await
    }

    /// Resumes the stream after the last complete event: at another server, if
    /// its route allows that, or at the engine with its copy.
    async fn resume(&mut self, cause: &str) -> Result<(), StreamError> {
        let broken = |server: String, cause: &str| StreamError::Broken {
            server,
            cause: cause.to_owned(),
        };
        let failed = self.server();
        self.call
            .state
            .balancer
            .borrow_mut()
            .call_failed(self.call.state.clock.now(), &failed);
        let resumable = self.call.route.kind == policy::routes::CallKind::Resumable;
        if self.last_event.is_none() && self.event_count > 0 {
            return Err(broken(failed, cause));
        }
        self.splitter.take_pending();
        let resumed = match resumable {
            true => self.resume_elsewhere().await,
            false => {
                let last = self.last_event;
                let from = self.body.server.clone();
                self.call.continue_stream(&from, last, cause).await
            }
        };
        let Some(body) = resumed else {
            return Err(broken(failed, cause));
        };
        if resumable {
            info!("stream resumed", kv: {
                id = self.call.request_id(),
                from = failed.as_str(),
                at = &*body.server.id,
                from_version = &*self.body.server.version,
                version = &*body.server.version,
                after = self.last_event.unwrap_or(0),
                cause
            });
        }
        self.body = body;
        self.just_resumed = true;
        self.resumed = true;
        Ok(())
    }

    /// Resumes a stream of a route that allows it: from the memory of its run, if its engine
    /// still works on that, or else as a new run.
    async fn resume_elsewhere(&mut self) -> Option<ResponseBody> {
        let from = self.body.server.clone();
        if let Some(last) = self.last_event {
            let moved = self.call.move_lost_run(&from, last, &mut self.tried);
            if let Some(body) = moved.await {
                return Some(body);
            }
        }
        let call = Rc::clone(&self.call);
        call.resume(self.last_event, &mut self.tried).await
    }

    fn server(&self) -> String {
        let ServerRecord { id, .. } = &self.body.server;
        id.to_string()
    }

    /// Typical time between two events at the server, in milliseconds; 0 if
    /// unknown.
    fn server_pace(&self) -> u64 {
        let state = &self.call.state;
        let balancer = state.balancer.borrow();
        millis(balancer.pace(&self.body.server.id).unwrap_or_default())
    }

    fn log(&self, outcome: &str) {
        let age = self
            .last_sent
            .saturating_duration_since(self.call.received_at);
        metrics::histogram!("pimentocart_answer_seconds", "kind" => "stream").record(age);
        let backup = self.call.backup_server();
        info!("stream ended", kv: {
            id = self.call.request_id(),
            route = self.call.route.name.as_str(),
            server = &*self.body.server.id,
            backup = backup.as_ref().map_or("-", |s| &*s.id),
            events = self.event_count,
            first_ms = millis(self.first_delay),
            pause_ms = millis(self.max_pause),
            pace_ms = self.server_pace(),
            ms = self.call.age_ms(),
            outcome
        });
    }
}

/// Whole milliseconds, for logs.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A chunk in parts of which the HTTP library copies one at a time to its own buffer.
fn parts(chunk: Result<Bytes, StreamError>) -> impl Iterator<Item = Result<Bytes, StreamError>> {
    let (mut rest, error) = match chunk {
        Ok(bytes) => (bytes, None),
        Err(error) => (Bytes::new(), Some(error)),
    };
    let bytes = std::iter::from_fn(move || {
        let part = rest.split_to(rest.len().min(SLICE_BYTES));
        (!part.is_empty()).then_some(Ok(part))
    });
    bytes.chain(error.map(Err))
}
