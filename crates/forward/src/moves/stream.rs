//! The streams that can be moved, and the part of their relays.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;
use bytes::Bytes;
use futures_util::future::{Either, select};
use policy::balance::ServerRecord;
use policy::moves::{Action, Event, Move, Phase, RunningStream, Site};
use policy::routes::CallKind;
use spdlog::info;
use tokio::sync::Notify;

use crate::call::Call;
use crate::exchange::{ResponseBody, SendError};
use crate::platform::KvCopy;
use crate::relay::millis;
use crate::state::State;

/// Longest wait for the answer of a first copy after the source's connection has ended, if
/// another server can resume the stream. A source that has crashed may never answer.
const RESUME_DELAY: Duration = Duration::from_millis(200);

/// Time without bytes after which the connection of a run that was stopped is closed from
/// this end. A host that lost power does not close it. Events that are lost with it are sent
/// again by the engine that continues.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// A stream that can be moved.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) key: u64,
    pub(super) request_id: String,
    /// The engine that runs it.
    pub(super) source: ServerRecord,
    tier: Tier,
    /// The parts of its prompt that other calls may share.
    shared_parts: Vec<u64>,
    prompt_tokens: u32,
    /// Longest answer in tokens, if the caller has given it.
    answer_limit: Option<u32>,
    /// The caller's estimate of the answer's length in tokens.
    answer_hint: Option<u32>,
    event_tokens: u32,
    /// Time to copy one token of KV cache.
    pub(super) copy_time: Duration,
    pub(super) max_gap: Option<Duration>,
    deadline: Instant,
    progress: Cell<Progress>,
    /// Whether its relay still reads it.
    pub(super) relayed: Cell<bool>,
    pub(super) state: RefCell<Move>,
    /// The engine to which it moves.
    pub(super) destination: RefCell<Option<ServerRecord>>,
    /// What the relay is to do next.
    action: RefCell<Option<Action>>,
    /// Notified when that or the move's state has changed.
    changed: Notify,
}

/// The events that an engine has sent of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// All events so far, with those of other engines.
    events: u64,
    /// Events when the first ones arrived, and the time.
    first: Option<(u64, Instant)>,
    /// When the latest event arrived.
    latest: Option<Instant>,
    /// The number of the last event.
    last_event: Option<u64>,
}

impl OpenStream {
    pub(super) fn in_progress(&self) -> bool {
        self.state.borrow().in_progress()
    }

    /// Whether it must not be sent to another engine, since servers crash under calls with
    /// a part of its prompt.
    pub(super) fn is_refused(&self, state: &State) -> bool {
        state.crashes.refuses_parts(&self.shared_parts)
    }

    /// Whether it may be sent to `engine` now, which may have begun to leave since it was
    /// chosen.
    pub(super) fn may_continue_at(&self, state: &State, engine: &ServerRecord) -> bool {
        let (now, version) = (state.clock.now(), &*self.source.version);
        let balancer = state.balancer.borrow();
        balancer.may_send(now, &engine.id, Some(version))
    }

    /// The number of the last event passed on.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.progress.get().last_event
    }

    pub(super) fn running_stream(&self) -> RunningStream {
        let progress = self.progress.get();
        let sent = progress.events.saturating_mul(u64::from(self.event_tokens));
        let event_time = progress
            .first
            .zip(progress.latest)
            .and_then(|(first, latest)| {
                let events = u32::try_from(progress.events - first.0)
                    .ok()
                    .filter(|n| *n > 0)?;
                Some(latest.saturating_duration_since(first.1) / events)
            });
        RunningStream {
            key: self.key,
            tier: self.tier,
            held_tokens: u64::from(self.prompt_tokens) + sent,
            tokens_left: self.tokens_left(sent),
            event_tokens: self.event_tokens,
            event_time,
            deadline: self.deadline,
        }
    }

    /// Expected tokens of the answer after those sent; `None` if unknown. An answer that is
    /// longer than the caller's estimate counts as long as its limit.
    fn tokens_left(&self, sent: u64) -> Option<u32> {
        let sent = u32::try_from(sent).unwrap_or(u32::MAX);
        let hint = self.answer_hint.filter(|hint| *hint > sent);
        let expected = match (hint, self.answer_limit) {
            (Some(hint), Some(limit)) => hint.min(limit),
            (hint, limit) => hint.or(limit)?,
        };
        Some(expected.saturating_sub(sent))
    }

    /// Applies an event to the move. Counts the outcome, and lists a copy to be freed.
    pub(super) fn apply(&self, state: &State, event: Event) -> Option<Action> {
        let (action, ended) = {
            let mut moving = self.state.borrow_mut();
            let before = moving.outcome();
            let begun = moving.phase() != Phase::Idle;
            let action = moving.apply(event);
            let ended = moving.outcome().filter(|o| begun && before != Some(*o));
            (action, ended)
        };
        if let Some(outcome) = ended {
            metrics::counter!("pimentocart_moves_total", "outcome" => outcome.label()).increment(1);
        }
        if let Some(
            Action::Free { handle }
            | Action::End {
                unused: Some(handle),
            },
        ) = &action
        {
            state.moves.free(&self.source, handle.clone());
        }
        if ended.is_some() {
            state.moves.changed.notify_one();
        }
        action
    }

    /// Leaves an action to the relay.
    pub(super) fn leave_to_relay(&self, action: Option<Action>) {
        *self.action.borrow_mut() = action;
        self.changed.notify_one();
    }

    /// Waits until the run was stopped.
    async fn stopped(&self) {
        while !matches!(self.state.borrow().phase(), Phase::Stopped(_)) {
            self.changed.notified().await;
        }
    }
}

/// A relay's hold on its stream, while the stream can be moved.
#[derive(Debug)]
pub struct MovableStream {
    state: Rc<State>,
    stream: Rc<OpenStream>,
}

impl MovableStream {
    /// Registers a stream that `body` delivers, if it can be moved: moves are enabled, the
    /// service declares them, the request has an ID, and the stream's end is visible.
    /// `earlier_events` were sent by other engines.
    #[must_use]
    pub fn register(call: &Rc<Call>, body: &ResponseBody, earlier_events: u64) -> Option<Self> {
        let state = &call.state;
        if !state.moves.enabled || !body.framed || !call.route.kind.streams() {
            return None;
        }
        let request_id = call.parsed_headers.request_id.clone()?;
        let catalog = state.catalog.borrow().clone()?;
        let engine = catalog.service(&call.service)?.engine.filter(|e| e.moves)?;
        let key = state.moves.next_key.get();
        state.moves.next_key.set(key + 1);
        let headers = &call.parsed_headers;
        let stream = Rc::new(OpenStream {
            key,
            request_id,
            source: body.server.clone(),
            tier: call.tier(),
            shared_parts: call.shared_parts(),
            prompt_tokens: headers.prompt_tokens,
            answer_limit: Some(headers.max_tokens).filter(|t| *t > 0),
            answer_hint: headers.length_hint,
            event_tokens: engine.event_tokens,
            copy_time: engine.copy_time.unwrap_or_default(),
            max_gap: call.route.max_gap,
            deadline: call.deadline,
            progress: Cell::new(Progress {
                events: earlier_events,
                ..Progress::default()
            }),
            relayed: Cell::new(true),
            state: RefCell::default(),
            destination: RefCell::default(),
            action: RefCell::default(),
            changed: Notify::new(),
        });
        let mut streams = state.moves.streams.borrow_mut();
        let here = streams.entry(Rc::clone(&body.server.id)).or_default();
        here.insert(key, Rc::clone(&stream));
        Some(Self {
            state: Rc::clone(state),
            stream,
        })
    }

    /// Records the events passed on: their number and the number of the last one.
    pub fn record_progress(&self, now: Instant, events: u64, last_event: Option<u64>) {
        let progress = self.stream.progress.get();
        self.stream.progress.set(Progress {
            events,
            first: progress.first.or(Some((events, now))),
            latest: Some(now),
            last_event,
        });
    }

    /// Continues the stream after its source's connection has ended: where it was moved to,
    /// or at the source if that stopped it and keeps its memory. Waits for the answer of a
    /// copy in progress. Returns `None` if the stream was not moved or cannot continue.
    /// `last_sent` is the time of the last event.
    pub async fn continue_elsewhere(
        self,
        call: &Rc<Call>,
        last_sent: Instant,
    ) -> Option<(ResponseBody, Option<Self>)> {
        let (state, stream) = (&self.state, &self.stream);
        let last = stream.last_event()?;
        let mut action = stream.apply(state, Event::SourceClosed);
        loop {
            match action.take().or_else(|| stream.action.take()) {
                Some(Action::Continue { at, handle }) => {
                    let server = match at {
                        Site::Source => stream.source.clone(),
                        Site::Destination => stream.destination.borrow().clone()?,
                    };
                    let copy = KvCopy {
                        addr: stream.source.addr,
                        handle: &handle,
                    };
                    // The retry for the destination was taken when the move began.
                    if at == Site::Source && !state.take_retry(call.request_id(), &call.service) {
                        action = stream.apply(state, Event::ContinueRefused);
                        continue;
                    }
                    // The source leaves, and takes back what it has stopped.
                    let accepted = at == Site::Source || stream.may_continue_at(state, &server);
                    let sent = match accepted {
                        true => call.continue_at(&server, copy, last).await,
                        false => Err(SendError::NeverSent("it takes no calls".to_owned())),
                    };
                    let event = match &sent {
                        Ok(_) => Event::Continued,
                        Err(error) if error.not_run() => Event::ContinueRefused,
                        Err(_) => Event::ContinueFailed,
                    };
                    action = stream.apply(state, event);
                    self.log_continuation(&server, sent.as_ref().err(), last_sent);
                    if let Ok(body) = sent {
                        // One that returned is not moved again: its handle is used, and the
                        // engine may exit at any time.
                        let next = match at {
                            Site::Source => None,
                            Site::Destination => {
                                Self::register(call, &body, stream.progress.get().events)
                            }
                        };
                        return Some((body, next));
                    }
                }
                Some(Action::Stop) => state.moves.stop_again(stream),
                Some(Action::End { .. }) => return None,
                Some(_) => {}
                None => {
                    let copying = matches!(stream.state.borrow().phase(), Phase::Copying(_));
                    let resumable = call.route.kind == CallKind::Resumable;
                    let until = match copying && resumable {
                        true => (state.clock.now() + RESUME_DELAY).min(stream.deadline),
                        false => stream.deadline,
                    };
                    let changed = stream.changed.notified();
                    tokio::time::timeout_at(until.into(), changed).await.ok()?;
                }
            }
        }
    }

    fn log_continuation(
        &self,
        server: &ServerRecord,
        error: Option<&SendError>,
        last_sent: Instant,
    ) {
        let (id, from) = (self.stream.request_id.as_str(), &*self.stream.source.id);
        let to = &*server.id;
        let pause = self.state.clock.now().saturating_duration_since(last_sent);
        match error {
            None => {
                let pause_ms = millis(pause);
                info!("stream moved", kv: { id, from, to, why = "engine leaves", pause_ms });
            }
            Some(error) => info!("continuation failed", kv: {
                id, from, to, cause = format!("{error:?}").as_str()
            }),
        }
    }
}

impl Drop for MovableStream {
    fn drop(&mut self) {
        self.stream.relayed.set(false);
        self.stream.apply(&self.state, Event::StreamEnded);
        // The answer of a call in progress is still needed to free the copy.
        if !self.stream.in_progress() {
            self.state.moves.remove(&self.stream);
        }
    }
}

/// Returns the next bytes of a stream as [`ResponseBody::next`] does. Fails if the run was
/// stopped for a move and nothing more arrives.
///
/// # Errors
///
/// Returns the cause when the response was cut short.
pub async fn read(
    body: &mut ResponseBody,
    stream: Option<&MovableStream>,
) -> Result<Option<Bytes>, String> {
    let Some(MovableStream { stream, .. }) = stream else {
        return body.next().await;
    };
    let closed = std::pin::pin!(async {
        stream.stopped().await;
        tokio::time::sleep(CLOSE_TIMEOUT).await;
    });
    match select(std::pin::pin!(body.next()), closed).await {
        Either::Left((next, _)) => next,
        Either::Right(_) => Err("stopped run's connection stays open".to_owned()),
    }
}
