//! Streams that move away from an engine that leaves.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::clock::ManualClock;
use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError};
use forward::status::Status;
use policy::balance::ServerRecord;
use policy::moves::{MAX_PER_DESTINATION, MAX_PER_SOURCE};
use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Entry, Plan, Servers, header, listed, status};
use crate::engines::{EVENTS, Engines, Script, StreamEnd, events};
use crate::suspects;

/// An entry with scripted engines.
struct Fleet {
    entry: Rc<Entry>,
    engines: Engines,
    records: Vec<ServerRecord>,
    table: ServerTable,
}

/// The table of servers in the store.
#[derive(Clone, Default)]
struct ServerTable {
    all: Vec<ServerRecord>,
    /// Changes that the entry has not read.
    changes: Rc<RefCell<Vec<ServerRecord>>>,
}

impl ServerTable {
    fn answer(records: Vec<ServerRecord>) -> Changes<ServerRecord> {
        let keyed = |r: ServerRecord| (r.id.to_string(), Some(r));
        Changes {
            records: records.into_iter().map(keyed).collect(),
            next: 1,
        }
    }
}

impl Source for ServerTable {
    type Item = ServerRecord;

    async fn snapshot(&self) -> Result<Changes<ServerRecord>, SourceError> {
        Ok(Self::answer(self.all.clone()))
    }

    async fn changes(&self, _: u64, _: Duration) -> Result<Changes<ServerRecord>, SourceError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        Ok(Self::answer(self.changes.take()))
    }
}

impl Fleet {
    /// Starts an entry that knows `count` engines and moves streams.
    async fn start(count: usize) -> Self {
        Self::start_with(count, true, true).await
    }

    async fn start_with(count: usize, enabled: bool, declared: bool) -> Self {
        Self::start_plan(
            count,
            Plan {
                moves: declared,
                moves_enabled: enabled,
                ..Plan::new(CallKind::Stream, 1, &[])
            },
        )
        .await
    }

    async fn start_plan(count: usize, plan: Plan) -> Self {
        let engines = Engines::default();
        let mut records = Vec::new();
        for n in 0..count {
            let record = listed(&format!("e{n}"), engines.listen().await);
            records.push(ServerRecord {
                slots: 16,
                version: Rc::from(plan.versions.get(n).copied().unwrap_or_default()),
                ..record
            });
        }
        let plan = Plan {
            engine: true,
            timeout: Duration::from_secs(20),
            ..plan
        };
        let entry = Entry::start_with(plan, Servers::default(), records.clone()).await;
        let state = Rc::clone(&entry.state);
        let table = ServerTable {
            all: records.clone(),
            ..ServerTable::default()
        };
        actix_rt::spawn(forward::follow::servers(Rc::clone(&state), table.clone()));
        actix_rt::spawn(forward::moves::run(
            state,
            engines.clone(),
            StopSignal::new(),
        ));
        Self {
            entry: Rc::new(entry),
            engines,
            records,
            table,
        }
    }

    /// Starts a call with a long answer and waits until its stream has begun.
    async fn call(&self, id: &str) -> actix_rt::task::JoinHandle<String> {
        self.call_with(id, "").await
    }

    /// As [`Fleet::call`], with further headers.
    async fn call_with(&self, id: &str, more: &str) -> actix_rt::task::JoinHandle<String> {
        let state = Rc::clone(&self.entry.state);
        let open = state.moves.stream_count();
        let call = self.start_call_with(id, more);
        let begun = |_: &Engines| state.moves.stream_count() > open;
        self.engines.wait_until(begun).await;
        call
    }

    /// Starts a call with a long answer.
    fn start_call(&self, id: &str) -> actix_rt::task::JoinHandle<String> {
        self.start_call_with(id, "")
    }

    fn start_call_with(&self, id: &str, more: &str) -> actix_rt::task::JoinHandle<String> {
        let entry = Rc::clone(&self.entry);
        let headers =
            format!("call-id: {id}\r\nparts: 7:50,9:50\r\nprompt: 100\r\noutput: 4000\r\n{more}");
        actix_rt::spawn(async move { entry.call(&headers).await })
    }

    /// Lists the engine at `addr` as leaving and waits until the entry knows.
    async fn leave(&self, addr: SocketAddr) {
        let record = self.records.iter().find(|r| r.addr == addr);
        let record = record.expect("an engine").clone();
        self.list(ServerRecord {
            leaving: true,
            ..record.clone()
        });
        let state = Rc::clone(&self.entry.state);
        let known = |_: &Engines| state.balancer.borrow().is_leaving(&record);
        self.engines.wait_until(known).await;
    }

    fn list(&self, record: ServerRecord) {
        self.table.changes.borrow_mut().push(record);
    }

    /// Waits until moves that could begin have done so and none is in progress.
    async fn wait_no_move(&self) {
        let state = Rc::clone(&self.entry.state);
        let before = state.moves.checks();
        let checked =
            |_: &Engines| state.moves.checks() > before + 2 && state.moves.in_progress() == 0;
        self.engines.wait_until(checked).await;
    }

    /// Starts a call and lists its engine as leaving; returns the call and the engine.
    async fn call_and_leave(&self, id: &str) -> (actix_rt::task::JoinHandle<String>, SocketAddr) {
        let call = self.call(id).await;
        let source = self.engines.engine_of(id);
        self.leave(source).await;
        (call, source)
    }
}

/// Checks that a caller got each event once, in order, with the first engine's headers, and
/// a complete response.
fn assert_whole(answer: &str) {
    assert_eq!(status(answer), "200");
    assert_eq!(body(answer), events(1, EVENTS));
    assert_eq!(header(answer, "seal").as_deref(), Some("1"));
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// The body of a chunked response, as far as it arrived.
fn body(answer: &str) -> String {
    let mut chunks = answer.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    let mut body = String::new();
    while let Some((length, rest)) = chunks.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).expect("a length");
        body.push_str(&rest[..length]);
        chunks = rest[length..].trim_start_matches("\r\n");
    }
    body
}

/// An engine leaves while a long stream runs. The caller must see one unbroken stream with
/// each event once, also the one sent after the stop, and the engine's run must have ended.
#[actix_rt::test]
async fn leaving_engine_stream_continues() {
    let fleet = Fleet::start(3).await;
    let (call, source) = fleet.call_and_leave("1").await;
    assert_whole(&call.await.expect("an answer"));
    let calls = fleet.engines.calls();
    assert_eq!(
        calls.iter().map(|c| c.last).collect::<Vec<_>>(),
        [false, true]
    );
    assert!(
        calls
            .iter()
            .all(|c| c.from == source && c.to == calls[0].to)
    );
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    let (at, _, last, _) = &continuations[0];
    assert_eq!((*at, *last), (calls[0].to, 3));
    fleet.engines.wait_until(Engines::is_idle).await;
    fleet.engines.assert_single_runs();
    assert_eq!(fleet.engines.freed(), Vec::<String>::new());
}

/// The feedback of an engine announces that it leaves before the list does. Its streams must
/// not wait for the list.
#[actix_rt::test]
async fn feedback_of_leaving_engine_moves_streams() {
    let fleet = Fleet::start(2).await;
    let call = fleet.call("1").await;
    let source = fleet.engines.engine_of("1");
    fleet.engines.announce_leaving(source);
    // Calls go to the engine with fewer open ones, so one of these reaches it.
    let mut others = Vec::new();
    for n in 2..8 {
        others.push(fleet.start_call(&n.to_string()));
    }
    assert_whole(&call.await.expect("an answer"));
    assert!(!fleet.engines.continuations().is_empty());
}

/// The first copy is refused. One other destination must be tried, and a second refusal
/// must leave the stream where it is.
#[rstest]
#[case::refused_once(&[Script::Refuse], 3, 1)]
#[case::lost_once(&[Script::Lose], 3, 1)]
#[case::refused_twice(&[Script::Refuse, Script::Refuse], 2, 0)]
#[case::refused_and_lost(&[Script::Refuse, Script::Lose], 2, 0)]
#[actix_rt::test]
async fn refused_copy_tried_elsewhere_once(
    #[case] scripts: &[Script],
    #[case] copies: usize,
    #[case] continuations: usize,
) {
    let fleet = Fleet::start(4).await;
    fleet.engines.script(scripts);
    let (call, _) = fleet.call_and_leave("1").await;
    fleet
        .engines
        .wait_until(|e| e.calls().len() == copies)
        .await;
    if continuations == 0 {
        fleet.wait_no_move().await;
        fleet.engines.release_run("1");
    }
    assert_whole(&call.await.expect("an answer"));
    let calls = fleet.engines.calls();
    assert_eq!(calls.len(), copies);
    assert_ne!(calls[0].to, calls[1].to);
    assert_eq!(fleet.engines.continuations().len(), continuations);
    fleet.engines.assert_single_runs();
}

/// The engine has stopped the run, but the destination has no room any more. The stream must
/// continue at the source by its handle.
#[actix_rt::test]
async fn refused_stop_continues_at_source() {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(&[Script::Obey, Script::Refuse]);
    let (call, source) = fleet.call_and_leave("1").await;
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    assert_eq!((continuations[0].0, continuations[0].3), (source, true));
    fleet.engines.assert_single_runs();
}

/// The call that stops the run gets no answer. If the run was stopped, the stream must
/// continue from the first copy.
#[actix_rt::test]
async fn unanswered_stop_continues_when_closed() {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(&[Script::Obey, Script::LoseAnswer]);
    let (call, source) = fleet.call_and_leave("1").await;
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    assert_ne!(continuations[0].0, source);
    fleet.engines.assert_single_runs();
}

/// The call that stops the run is lost and the run goes on. The stream must not continue
/// elsewhere while its engine still sends it, and the copy must be freed at its end.
#[actix_rt::test]
async fn unanswered_stop_leaves_running_stream() {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(&[Script::Obey, Script::Lose]);
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == 2).await;
    fleet.wait_no_move().await;
    fleet.engines.release_run("1");
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.engines.continuations(), []);
    fleet.engines.wait_until(|e| e.freed().len() == 1).await;
    fleet.engines.assert_single_runs();
}

/// The destination refuses the continuation. The stream must return to the source, which
/// still has its memory, with the same handle.
#[actix_rt::test]
async fn refused_continuation_returns_to_source() {
    let fleet = Fleet::start(2).await;
    let call = fleet.call("1").await;
    let source = fleet.engines.engine_of("1");
    let other = fleet.records.iter().find(|r| r.addr != source);
    let other = other.expect("another engine").addr;
    fleet.engines.refuse_continuations(other);
    fleet.leave(source).await;
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    let at: Vec<(SocketAddr, bool)> = continuations.iter().map(|c| (c.0, c.3)).collect();
    assert_eq!(at, [(other, false), (source, true)]);
    assert_eq!(continuations[0].1, continuations[1].1);
    fleet.engines.assert_single_runs();
}

/// The source dies after it has stopped the run, with or without closing its connections.
/// The stream must continue at the destination.
#[rstest]
#[case::closed(Script::Die)]
#[case::open(Script::Freeze)]
#[actix_rt::test]
async fn dead_source_continues_at_destination(#[case] script: Script) {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(&[Script::Obey, script]);
    let (call, source) = fleet.call_and_leave("1").await;
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    assert_ne!(continuations[0].0, source);
    fleet.engines.assert_single_runs();
}

/// Neither the destination nor the source continues the stream. The caller must see that it
/// is incomplete, and the copy must be freed.
#[actix_rt::test]
async fn stream_refused_everywhere_is_error() {
    let fleet = Fleet::start(2).await;
    for record in &fleet.records {
        fleet.engines.refuse_continuations(record.addr);
    }
    let (call, _) = fleet.call_and_leave("1").await;
    let answer = call.await.expect("an answer");
    assert_eq!(body(&answer), events(1, 3));
    assert!(!answer.ends_with("0\r\n\r\n"));
    assert_eq!(fleet.engines.continuations().len(), 2);
    fleet.engines.wait_until(|e| e.freed().len() == 1).await;
}

/// The source crashes during the first copy and never answers. A stream that another server
/// can resume must not wait for the answer.
#[actix_rt::test]
async fn resumable_stream_does_not_wait_for_copy() {
    let plan = Plan {
        moves: true,
        moves_enabled: true,
        ..Plan::new(CallKind::Resumable, 2, &[])
    };
    let fleet = Fleet::start_plan(3, plan).await;
    fleet.engines.script(&[Script::Hold]);
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == 1).await;
    fleet.engines.break_run("1");
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.engines.continuations(), []);
    fleet.engines.release_copies();
    fleet.engines.wait_until(|e| e.freed().len() == 1).await;
}

/// Guards against a stream reaching the destination of its move after that has begun to leave:
/// another engine gets the copy, or the source takes the stopped run back.
#[rstest]
#[case::during_first_copy(1, true)]
#[case::during_stop(2, false)]
#[actix_rt::test]
async fn moved_stream_reaches_leaving_destination(#[case] calls: usize, #[case] elsewhere: bool) {
    let fleet = Fleet::start(3).await;
    let mut scripts = [Script::Obey; 2];
    scripts[calls - 1] = Script::Hold;
    fleet.engines.script(&scripts);
    let (call, source) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == calls).await;
    let destination = fleet.engines.calls()[0].to;
    fleet.leave(destination).await;
    fleet.engines.release_copies();
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    assert_ne!(continuations[0].0, destination);
    assert_eq!(continuations[0].0 != source, elsewhere);
    fleet.engines.assert_single_runs();
}

/// Guards against two engines at work on a stream that moves: its connection ends during one
/// of the copy calls, and its engine goes on with the run until it is stopped.
#[rstest]
#[case::during_first_copy(&[Script::Hold], 1)]
#[case::during_stop(&[Script::Obey, Script::Lose], 2)]
#[actix_rt::test]
async fn lost_answer_continues_beside_moving_run(#[case] scripts: &[Script], #[case] calls: usize) {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(scripts);
    let (call, source) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == calls).await;
    fleet.engines.lose_answer("1");
    fleet.engines.release_copies();
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    assert_ne!(continuations[0].0, source);
    fleet.engines.assert_single_runs();
}

/// Guards against a second run of a stream beside the first one, whose answer is lost: it goes
/// on from the first run's memory, also where a new run is allowed.
#[actix_rt::test]
async fn lost_answer_runs_again() {
    let plan = Plan {
        moves: true,
        moves_enabled: true,
        ..Plan::new(CallKind::Resumable, 2, &[])
    };
    let fleet = Fleet::start_plan(3, plan).await;
    let call = fleet.call("1").await;
    let source = fleet.engines.engine_of("1");
    fleet.engines.lose_answer("1");
    assert_whole(&call.await.expect("an answer"));
    let continuations = fleet.engines.continuations();
    assert_eq!(continuations.len(), 1);
    assert_ne!(continuations[0].0, source);
    fleet.engines.assert_single_runs();
}

/// Many streams leave at once. No more copies than the limits may be in progress for one
/// source or destination, and all streams must move.
#[actix_rt::test]
async fn many_streams_move_within_limits() {
    let fleet = Fleet::start(3).await;
    let ids: Vec<String> = (0..12).map(|n| n.to_string()).collect();
    let mut calls = Vec::new();
    for id in &ids {
        calls.push(fleet.call(id).await);
    }
    fleet.engines.script(&[Script::Hold; 12]);
    let streams_at = |addr: SocketAddr| {
        let here = ids.iter().filter(|id| fleet.engines.engine_of(id) == addr);
        here.count()
    };
    let source = fleet.records.iter().map(|r| r.addr);
    let source = source
        .max_by_key(|addr| streams_at(*addr))
        .expect("an engine");
    let here = streams_at(source);
    assert!(here > MAX_PER_SOURCE, "{here} streams at the engine");
    fleet.leave(source).await;
    let limit = MAX_PER_SOURCE;
    fleet.engines.wait_until(|e| e.calls().len() >= limit).await;
    fleet.engines.release_copies();
    fleet
        .engines
        .wait_until(|e| e.continuations().len() == here)
        .await;
    for id in &ids {
        fleet.engines.release_run(id);
    }
    for call in calls {
        assert_whole(&call.await.expect("an answer"));
    }
    let (by_source, by_destination) = fleet.engines.most_copies();
    assert_eq!(by_source, MAX_PER_SOURCE);
    assert!(by_destination <= MAX_PER_DESTINATION);
    fleet.engines.assert_single_runs();
}

/// The stream ends by itself while the first copy is made. Nothing else may happen, and the
/// copy must be freed.
#[actix_rt::test]
async fn ended_stream_frees_copy() {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(&[Script::Hold]);
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == 1).await;
    assert_eq!(Status::of(&fleet.entry.state).moves, Some(1));
    fleet.engines.release_run("1");
    assert_whole(&call.await.expect("an answer"));
    fleet.engines.release_copies();
    fleet.engines.wait_until(|e| e.freed().len() == 1).await;
    assert_eq!(fleet.engines.calls().len(), 1);
    assert_eq!(fleet.engines.continuations(), []);
    assert_eq!(fleet.entry.state.moves.in_progress(), 0);
}

/// The caller disconnects during a move. The copy must be freed.
#[actix_rt::test]
async fn disconnected_caller_frees_copy() {
    let fleet = Fleet::start(3).await;
    fleet.engines.script(&[Script::Hold]);
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == 1).await;
    call.abort();
    fleet.engines.wait_until(Engines::is_idle).await;
    fleet.engines.release_copies();
    fleet.engines.wait_until(|e| e.freed().len() == 1).await;
    assert_eq!(fleet.engines.continuations(), []);
}

/// Moves are off or the engines do not declare them. Engines must get no calls that they may
/// not know.
#[rstest]
#[case::off(false, true)]
#[case::not_declared(true, false)]
#[actix_rt::test]
async fn no_copy_unless_enabled(#[case] enabled: bool, #[case] declared: bool) {
    let fleet = Fleet::start_with(3, enabled, declared).await;
    let call = fleet.start_call("1");
    fleet.engines.wait_until(|e| !e.is_idle()).await;
    fleet.leave(fleet.engines.engine_of("1")).await;
    fleet.wait_no_move().await;
    fleet.engines.release_run("1");
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.engines.calls(), []);
    assert_eq!(fleet.engines.continuations(), []);
}

/// A short stream ends before its engine can exit. It must not be moved.
#[actix_rt::test]
async fn short_stream_stays() {
    let fleet = Fleet::start(3).await;
    let entry = Rc::clone(&fleet.entry);
    let headers = "call-id: 1\r\nprompt: 100\r\noutput: 48\r\n";
    let call = actix_rt::spawn(async move { entry.call(headers).await });
    fleet.engines.wait_until(|e| !e.is_idle()).await;
    fleet.leave(fleet.engines.engine_of("1")).await;
    fleet.wait_no_move().await;
    fleet.engines.release_run("1");
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.engines.calls(), []);
}

/// No engine has room when the stream's engine leaves, and later one has. The stream must
/// move then.
#[actix_rt::test]
async fn stream_waits_for_destination() {
    let fleet = Fleet::start(1).await;
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.wait_no_move().await;
    assert_eq!(fleet.engines.calls(), []);
    let addr = fleet.engines.listen().await;
    fleet.list(listed("late", addr));
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.engines.continuations()[0].0, addr);
}

/// Guards against streams that move being sent to a second engine beyond the retry budget.
/// A stream that may not move stays and ends whole.
#[actix_rt::test]
async fn stream_moved_without_retry() {
    let fleet = Fleet::start(3).await;
    let call = fleet.call("1").await;
    fleet.entry.take_all_retries();
    fleet.leave(fleet.engines.engine_of("1")).await;
    fleet.wait_no_move().await;
    fleet.engines.release_run("1");
    assert_eq!(fleet.engines.calls().len(), 0);
    assert_whole(&call.await.expect("an answer"));
}

/// Guards against moves that leave the retry budget as it was.
#[actix_rt::test]
async fn move_takes_a_retry() {
    let fleet = Fleet::start(3).await;
    let before = Fleet::start(3).await.entry.take_all_retries();
    let (call, _) = fleet.call_and_leave("1").await;
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.entry.take_all_retries(), before - 1);
}

/// Guards against a stream moving to an engine of another version.
#[actix_rt::test]
async fn stream_moved_to_another_version() {
    let plan = Plan {
        moves: true,
        moves_enabled: true,
        versions: &["v1", "v2"],
        ..Plan::new(CallKind::Stream, 1, &[])
    };
    let fleet = Fleet::start_plan(2, plan).await;
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.wait_no_move().await;
    fleet.engines.release_run("1");
    assert_eq!(fleet.engines.calls(), []);
    assert_whole(&call.await.expect("an answer"));
}

/// Guards against moving a stream to another engine although a part of its prompt is known as
/// one under which servers crash: it stays where it is.
#[actix_rt::test]
async fn stream_with_fatal_part_not_moved() {
    let fleet = Fleet::start(3).await;
    let call = fleet.call("1").await;
    suspects::accuse(&fleet.entry.state, Duration::ZERO);
    fleet.leave(fleet.engines.engine_of("1")).await;
    fleet.wait_no_move().await;
    fleet.engines.release_run("1");
    assert_whole(&call.await.expect("an answer"));
    assert_eq!(fleet.engines.calls(), []);
}

/// Guards against continuing a stream at another engine after that became known during the
/// move. The clock stands still, so that the stream does not show that the part is sound.
#[actix_rt::test]
async fn stream_with_fatal_part_not_continued_elsewhere() {
    let plan = Plan {
        moves: true,
        moves_enabled: true,
        clock: Rc::new(ManualClock::new()),
        ..Plan::new(CallKind::Stream, 1, &[])
    };
    let fleet = Fleet::start_plan(3, plan).await;
    fleet.engines.script(&[Script::Hold]);
    let (call, _) = fleet.call_and_leave("1").await;
    fleet.engines.wait_until(|e| e.calls().len() == 1).await;
    suspects::accuse(&fleet.entry.state, Duration::ZERO);
    fleet.engines.release_copies();
    let answer = call.await.expect("an answer");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(fleet.engines.continuations(), []);
}

/// Guards against passing a moved stream on as whole that was cut off at its new engine, and
/// against cutting one that was not.
#[rstest]
#[case::chunks(StreamEnd::LastChunk, false, true)]
#[case::closed(StreamEnd::Closed, false, true)]
#[case::closed_by_crash(StreamEnd::Closed, true, false)]
#[case::inside_head(StreamEnd::InsideHead, false, false)]
#[case::inside_event(StreamEnd::InsideEvent, false, false)]
#[case::between_events(StreamEnd::BetweenEvents, false, false)]
#[case::silence(StreamEnd::Silence, false, false)]
#[actix_rt::test]
async fn moved_stream_ends(#[case] end: StreamEnd, #[case] replaced: bool, #[case] whole: bool) {
    let fleet = Fleet::start(3).await;
    fleet.engines.end_continuations(end, replaced);
    let call = fleet.call_with("1", "patience-ms: 4000\r\n").await;
    fleet.leave(fleet.engines.engine_of("1")).await;
    let answer = call.await.expect("an answer");
    match whole {
        true => assert_whole(&answer),
        false => {
            let sent = if end == StreamEnd::InsideHead {
                3
            } else {
                EVENTS
            };
            assert_eq!(body(&answer), events(1, sent));
            assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        }
    }
    fleet.engines.assert_single_runs();
}
