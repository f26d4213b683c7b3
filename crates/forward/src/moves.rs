//! Moves open streams away from engines that leave. [`policy::moves`] decides which streams
//! move, where to and what happens next; this module keeps the streams by engine and makes
//! the calls. It also stops runs whose connections have broken.

mod stop;
mod stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use policy::balance::{Partition, ServerQuery, ServerRecord, Strategy};
use policy::moves::{
    self, Action, CopyOutcome, DRAIN_TIME, Destination, Event, Phase, RunningStream, StreamNeeds,
};
use policy::rendezvous::hash_name;
use spdlog::info;
use tokio::sync::Notify;

use crate::platform::{CopyRequest, EngineControl};
use crate::state::State;

use stop::StopRequest;
use stream::OpenStream;
pub use stream::{MovableStream, read};

/// Interval at which the streams of leaving engines are checked again: a stream that was
/// expected to end may not, and destinations get room.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval while no engine leaves.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an engine that leaves and has no streams is forgotten.
const LEAVING_TTL: Duration = Duration::from_secs(60);

/// A server that has sent nothing for this long gets no streams.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The streams of one engine, by their key.
type StreamsByKey = BTreeMap<u64, Rc<OpenStream>>;

/// The open streams that can be moved, by their engine.
#[derive(Debug, Default)]
pub struct OpenStreams {
    enabled: bool,
    streams: RefCell<BTreeMap<Rc<str>, StreamsByKey>>,
    /// The engines that leave, and when this became known.
    leaving: RefCell<BTreeMap<Rc<str>, Instant>>,
    next_key: Cell<u64>,
    /// Number of times that the streams of leaving engines were checked.
    checks: Cell<u64>,
    /// Copies to be freed, each with the engine that made it.
    unused: RefCell<Vec<(ServerRecord, String)>>,
    /// Runs to be stopped for calls.
    stops: RefCell<Vec<StopRequest>>,
    /// Streams in a move whose runs are to be stopped again.
    unconfirmed: RefCell<Vec<Rc<OpenStream>>>,
    /// Notified when an engine leaves, a move ends, a run is to be stopped or a copy is to be
    /// freed.
    changed: Notify,
}

impl OpenStreams {
    /// Creates the registry; unless `enabled` it stays empty.
    #[must_use]
    pub fn new(enabled: bool) -> Self {
        Self {
            enabled,
            ..Self::default()
        }
    }

    /// Records that a server leaves.
    pub fn server_leaves(&self, now: Instant, id: &Rc<str>) {
        if self.enabled {
            let mut leaving = self.leaving.borrow_mut();
            leaving.entry(Rc::clone(id)).or_insert(now);
            self.changed.notify_one();
        }
    }

    /// Number of moves in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.all().filter(|s| s.in_progress()).count()
    }

    /// Number of open streams that can be moved.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.streams.borrow().values().map(BTreeMap::len).sum()
    }

    /// Number of times that the streams of leaving engines were checked.
    #[must_use]
    pub fn checks(&self) -> u64 {
        self.checks.get()
    }

    fn all(&self) -> impl Iterator<Item = Rc<OpenStream>> {
        let streams = self.streams.borrow();
        let all: Vec<_> = streams
            .values()
            .flat_map(BTreeMap::values)
            .cloned()
            .collect();
        all.into_iter()
    }

    fn at(&self, server: &str) -> Vec<Rc<OpenStream>> {
        let streams = self.streams.borrow();
        let here = streams.get(server).into_iter().flat_map(BTreeMap::values);
        here.cloned().collect()
    }

    /// Forgets a stream whose relay has ended, unless a call for it is in progress.
    fn remove(&self, stream: &OpenStream) {
        let mut streams = self.streams.borrow_mut();
        if let Some(here) = streams.get_mut(&stream.source.id) {
            here.remove(&stream.key);
            if here.is_empty() {
                streams.remove(&stream.source.id);
            }
        }
    }

    /// Stops the run of a moving stream again.
    fn stop_again(&self, stream: &Rc<OpenStream>) {
        self.unconfirmed.borrow_mut().push(Rc::clone(stream));
        self.changed.notify_one();
    }

    /// Frees a copy that is not used.
    pub(crate) fn free(&self, source: &ServerRecord, handle: String) {
        self.unused.borrow_mut().push((source.clone(), handle));
        self.changed.notify_one();
    }
}

/// Moves streams away from engines that leave, and stops runs whose connections have broken,
/// until `end`.
pub async fn run<C: EngineControl + 'static>(state: Rc<State>, control: C, end: StopSignal) {
    let control = Rc::new(control);
    while !end.is_triggered() {
        for (source, handle) in state.moves.unused.take() {
            actix_rt::spawn(free_copy(Rc::clone(&control), source, handle));
        }
        for request in state.moves.stops.take() {
            let (state, control) = (Rc::clone(&state), Rc::clone(&control));
            actix_rt::spawn(stop::serve(state, control, request));
        }
        for stream in state.moves.unconfirmed.take() {
            let (state, control) = (Rc::clone(&state), Rc::clone(&control));
            actix_rt::spawn(copy(state, control, stream, true));
        }
        start_moves(&state, &control);
        state.moves.checks.set(state.moves.checks.get() + 1);
        let interval = match state.moves.leaving.borrow().is_empty() {
            true => IDLE_INTERVAL,
            false => CHECK_INTERVAL,
        };
        // The streams are checked again after the interval as well as a change.
        let _ = tokio::time::timeout(interval, state.moves.changed.notified()).await;
    }
}

/// Begins the moves that are due, within the limits.
fn start_moves<C: EngineControl + 'static>(state: &Rc<State>, control: &Rc<C>) {
    let now = state.clock.now();
    let limit = moves::source_limit(state.roster.borrow().count().total);
    let leaving = state.moves.leaving.borrow().clone();
    for (id, since) in leaving {
        // One that has restarted under its name may leave again later.
        if state.balancer.borrow().accepts_calls(&id) {
            state.moves.leaving.borrow_mut().remove(&id);
            continue;
        }
        let streams = state.moves.at(&id);
        if streams.is_empty() {
            if now >= since + LEAVING_TTL {
                state.moves.leaving.borrow_mut().remove(&id);
            }
            continue;
        }
        let mut in_progress = streams.iter().filter(|s| s.in_progress()).count();
        let balancer = state.balancer.borrow();
        // A server that is not listed any more may still serve its last calls.
        let unlisted = balancer.addr(&id).is_none();
        let waiting = |s: &&Rc<OpenStream>| {
            let idle = s.relayed.get() && s.state.borrow().phase() == Phase::Idle;
            // A stream without event numbers cannot be continued.
            let numbered = s.last_event().is_some();
            let movable = idle && numbered && !s.is_refused(state);
            movable && (unlisted || balancer.is_leaving(&s.source))
        };
        let waiting: BTreeMap<u64, &Rc<OpenStream>> =
            streams.iter().filter(waiting).map(|s| (s.key, s)).collect();
        drop(balancer);
        let running: Vec<RunningStream> = waiting.values().map(|s| s.running_stream()).collect();
        let copy_time = streams.first().map_or(Duration::ZERO, |s| s.copy_time);
        for key in moves::streams_to_move(now, since + DRAIN_TIME, copy_time, &running) {
            if in_progress >= limit {
                break;
            }
            let Some(stream) = waiting.get(&key) else {
                continue;
            };
            if !set_destination(state, now, stream) {
                continue;
            }
            // The stream will be sent to a second engine. Without a retry it stays.
            if !state.take_retry(&stream.request_id, &stream.source.service) {
                break;
            }
            if stream.state.borrow_mut().begin().is_some() {
                in_progress += 1;
                let stream = Rc::clone(stream);
                actix_rt::spawn(copy(Rc::clone(state), Rc::clone(control), stream, false));
            }
        }
    }
}

/// Chooses the engine to which a stream moves: one of its software version, and another than
/// before. Returns whether there is one.
fn set_destination(state: &State, now: Instant, stream: &OpenStream) -> bool {
    let before = stream
        .destination
        .borrow()
        .as_ref()
        .map(|d| Rc::clone(&d.id));
    let excluded: Vec<Rc<str>> = std::iter::once(Rc::clone(&stream.source.id))
        .chain(before)
        .collect();
    let query = ServerQuery {
        service: &stream.source.service,
        prefix_hash: None,
        tried: &excluded,
        partition: Partition::All,
        strategy: Strategy::LeastOwnCalls,
        silence_timeout: SILENCE_TIMEOUT,
        version: Some(&stream.source.version),
    };
    let (engines, open_calls) = {
        let mut balancer = state.balancer.borrow_mut();
        let engines = balancer.ranked(now, &query);
        let serving = balancer.serving(&stream.source.service);
        let open = serving.into_iter().map(|(server, open)| (server.id, open));
        (engines, open.collect::<BTreeMap<_, _>>())
    };
    let mut moves: BTreeMap<Rc<str>, usize> = BTreeMap::new();
    for moving in state.moves.all().filter(|s| s.in_progress()) {
        if let Some(destination) = &*moving.destination.borrow() {
            *moves.entry(Rc::clone(&destination.id)).or_default() += 1;
        }
    }
    let candidate = |server: &ServerRecord| {
        let moves = moves.get(&server.id).copied().unwrap_or_default();
        let open = open_calls.get(&server.id).copied().unwrap_or_default();
        Destination {
            name_hash: hash_name(&server.id),
            slots: server.slots,
            open_calls: open.saturating_add(u32::try_from(moves).unwrap_or(u32::MAX)),
            free_tokens: None,
            event_time: None,
            moves,
        }
    };
    let candidates: Vec<Destination> = engines.iter().map(candidate).collect();
    let running = stream.running_stream();
    let needs = StreamNeeds {
        request_hash: hash_name(&stream.request_id),
        tokens: running.held_tokens + u64::from(running.tokens_left.unwrap_or_default()),
        max_gap: stream.max_gap,
    };
    let chosen = moves::choose_destination(&needs, &candidates);
    let chosen = chosen.map(|at| engines[at].clone());
    let found = chosen.is_some();
    *stream.destination.borrow_mut() = chosen;
    found
}

/// Makes the copy calls of one move, from the one that stops the run on if `last` is set;
/// what the relay has to do is left to it.
async fn copy<C: EngineControl>(
    state: Rc<State>,
    control: Rc<C>,
    stream: Rc<OpenStream>,
    mut last: bool,
) {
    loop {
        let Some(destination) = stream.destination.borrow().clone() else {
            break;
        };
        let request = CopyRequest {
            id: &stream.request_id,
            to: destination.addr,
            last,
        };
        // Once its connection has ended, the stream can go on only if the run has ended too.
        let proof_needed = last && stream.state.borrow().is_closed();
        let outcome = match proof_needed {
            true => stop::stop(&state, &*control, &stream.source, &request).await,
            false => control.copy_run(stream.source.addr, &request).await,
        };
        log_copy(&stream, &destination, last, &outcome);
        let outcome = match last {
            true => outcome,
            false => check_destination(&state, &stream, &destination, outcome),
        };
        let mut action = stream.apply(&state, Event::Answered(outcome));
        if action == Some(Action::CopyElsewhere) {
            if set_destination(&state, state.clock.now(), &stream) {
                continue;
            }
            action = stream.apply(&state, Event::NoDestination);
        }
        if action == Some(Action::Stop) {
            last = true;
            continue;
        }
        stream.leave_to_relay(action);
        break;
    }
    if !stream.relayed.get() {
        state.moves.remove(&stream);
    }
}

/// Takes a first copy for refused if its engine takes no calls any more. The run has not
/// stopped yet and can be copied to another one.
fn check_destination(
    state: &State,
    stream: &OpenStream,
    destination: &ServerRecord,
    outcome: CopyOutcome,
) -> CopyOutcome {
    match outcome {
        CopyOutcome::Copied { handle, .. } if !stream.may_continue_at(state, destination) => {
            state.moves.free(&stream.source, handle);
            CopyOutcome::Refused { handle: None }
        }
        outcome => outcome,
    }
}

fn log_copy(stream: &OpenStream, to: &ServerRecord, last: bool, outcome: &CopyOutcome) {
    let cause = match outcome {
        CopyOutcome::NoAnswer(cause) => cause.as_str(),
        _ => "-",
    };
    let events = match outcome {
        CopyOutcome::Copied { events, .. } => *events,
        _ => 0,
    };
    info!("run copied", kv: {
        id = stream.request_id.as_str(),
        from = &*stream.source.id,
        to = &*to.id,
        last,
        outcome = outcome.label(),
        events,
        cause
    });
}

/// Frees a copy that is not used. It expires if this fails.
async fn free_copy<C: EngineControl>(control: Rc<C>, source: ServerRecord, handle: String) {
    let outcome = match control.drop_copy(source.addr, &handle).await {
        Ok(()) => "freed".to_owned(),
        Err(e) => e.to_string(),
    };
    info!("copy freed", kv: {
        at = &*source.id, handle = handle.as_str(), outcome = outcome.as_str()
    });
}
