//! Moves of streams away from engines that leave: which streams, where to, and the states of
//! one move in any order of events.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use base::ids::Tier;
use policy::moves::{
    Action, CopyOutcome, DRAIN_TIME, Destination, Event, MAX_PER_DESTINATION, Move, Outcome, Phase,
    RunningStream, Site, StreamNeeds, choose_destination, source_limit, streams_to_move,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn stream(now: Instant, key: u64, tier: u8, tokens_left: Option<u32>) -> RunningStream {
    RunningStream {
        key,
        tier: Tier(tier),
        held_tokens: 1000,
        tokens_left,
        event_tokens: 5,
        event_time: Some(40 * MS),
        deadline: now + Duration::from_secs(30),
    }
}

/// Guards against moving streams that end in time, and against a wrong order when not all
/// can be moved.
#[test]
fn streams_to_move_by_tier_and_length() {
    let now = Instant::now();
    let streams = [
        stream(now, 1, 1, Some(2000)),
        // 20 events of 40 ms and the margin are 1 s.
        stream(now, 2, 0, Some(100)),
        stream(now, 3, 0, Some(500)),
        stream(now, 4, 0, Some(900)),
        stream(now, 5, 0, None),
    ];
    let chosen = streams_to_move(now, now + DRAIN_TIME, Duration::ZERO, &streams);
    assert_eq!(chosen, vec![5, 4, 3, 1]);
}

/// Guards against leaving a stream behind that did not end when expected: the engine may
/// exit at any time then.
#[test]
fn streams_to_move_after_expected_exit() {
    let now = Instant::now();
    let streams = [stream(now, 1, 0, Some(5))];
    let before = streams_to_move(now, now + DRAIN_TIME, Duration::ZERO, &streams);
    let after = streams_to_move(now + DRAIN_TIME, now, Duration::ZERO, &streams);
    assert_eq!((before, after), (vec![], vec![1]));
}

/// Guards against copies that end after the caller has stopped waiting, and against one that
/// cannot be complete before the exit delaying those that can.
#[test]
fn streams_to_move_by_copy_time() {
    let now = Instant::now();
    let large = RunningStream {
        held_tokens: 9000,
        ..stream(now, 1, 0, Some(3000))
    };
    let hopeless = RunningStream {
        deadline: now + Duration::from_secs(3),
        ..large
    };
    let hopeless = RunningStream { key: 2, ..hopeless };
    let streams = [large, hopeless, stream(now, 3, 0, Some(500))];
    let chosen = streams_to_move(now, now + DRAIN_TIME, MS / 2, &streams);
    assert_eq!(chosen, vec![3, 1]);
}

fn destination(name_hash: u64, open_calls: u32) -> Destination {
    Destination {
        name_hash,
        slots: 96,
        open_calls,
        free_tokens: None,
        event_time: None,
        moves: 0,
    }
}

/// Guards against a destination that cannot hold the stream, is too slow for it or has its
/// limit of moves.
#[rstest]
#[case::most_room(destination(2, 0), true)]
#[case::slots_full(destination(2, 96), false)]
#[case::memory_full(Destination { free_tokens: Some(999), ..destination(2, 0) }, false)]
#[case::memory_free(Destination { free_tokens: Some(1000), ..destination(2, 0) }, true)]
#[case::too_slow(Destination { event_time: Some(76 * MS), ..destination(2, 0) }, false)]
#[case::fast_enough(Destination { event_time: Some(75 * MS), ..destination(2, 0) }, true)]
#[case::limit_reached(Destination { moves: MAX_PER_DESTINATION, ..destination(2, 0) }, false)]
fn choose_destination_by_room(#[case] other: Destination, #[case] chosen: bool) {
    let needs = StreamNeeds {
        request_hash: 7,
        tokens: 1000,
        max_gap: Some(75 * MS),
    };
    let engines = [destination(1, 50), other];
    assert_eq!(
        choose_destination(&needs, &engines),
        Some(usize::from(chosen))
    );
    assert_eq!(
        choose_destination(&needs, &engines[1..]),
        chosen.then_some(0)
    );
}

/// Guards against all entries choosing the same engine among equals.
#[test]
fn choose_destination_spreads() {
    let engines: Vec<Destination> = (0..10).map(|n| destination(n, n as u32 % 3)).collect();
    let chosen: HashSet<usize> = (0..200)
        .filter_map(|request_hash| {
            let needs = StreamNeeds {
                request_hash,
                tokens: 1,
                max_gap: None,
            };
            choose_destination(&needs, &engines)
        })
        .collect();
    // Engines 0, 3, 6 and 9 are in the highest step of room.
    assert_eq!(chosen, HashSet::from([0, 3, 6, 9]));
}

/// Guards against a long queue of copies on the link of an engine that many entries use.
#[rstest]
#[case::alone(1, 2)]
#[case::two(2, 2)]
#[case::many(30, 1)]
fn source_limit_by_entries(#[case] entries: usize, #[case] limit: usize) {
    assert_eq!(source_limit(entries), limit);
}

fn copied(handle: &str) -> Event {
    Event::Answered(CopyOutcome::Copied {
        handle: handle.to_owned(),
        events: 3,
    })
}

fn refused(handle: Option<&str>) -> Event {
    let handle = handle.map(str::to_owned);
    Event::Answered(CopyOutcome::Refused { handle })
}

fn no_answer() -> Event {
    Event::Answered(CopyOutcome::NoAnswer("timeout".to_owned()))
}

fn at(site: Site, handle: &str) -> Option<Action> {
    let handle = handle.to_owned();
    Some(Action::Continue { at: site, handle })
}

/// Guards against a wrong reaction to one of the failures that the requirements list. Each
/// case begins a move and ends with the expected last action and outcome.
#[rstest]
#[case::moved(
    vec![copied("h"), copied("h"), Event::SourceClosed, Event::Continued], None, Outcome::Moved)]
#[case::closed_before_answer(
    vec![copied("h"), Event::SourceClosed, copied("h"), Event::Continued], None, Outcome::Moved)]
#[case::first_refused_then_elsewhere(
    vec![refused(None), copied("h"), copied("h"), Event::SourceClosed, Event::Continued],
    None, Outcome::Moved)]
#[case::refused_twice(
    vec![refused(None), no_answer()], Some(Action::Stay), Outcome::Refused)]
#[case::no_other_destination(
    vec![refused(None), Event::NoDestination], Some(Action::Stay), Outcome::Refused)]
#[case::no_such_run(
    vec![Event::Answered(CopyOutcome::NoRun)], Some(Action::Stay), Outcome::Refused)]
#[case::stop_refused_with_handle(
    vec![copied("h"), refused(Some("h")), Event::SourceClosed, Event::Continued],
    None, Outcome::Returned)]
#[case::destination_refuses(
    vec![copied("h"), copied("h"), Event::SourceClosed, Event::ContinueRefused, Event::Continued],
    None, Outcome::Returned)]
#[case::both_refuse(
    vec![copied("h"), copied("h"), Event::SourceClosed, Event::ContinueRefused,
        Event::ContinueRefused],
    Some(Action::End { unused: Some("h".to_owned()) }), Outcome::Lost)]
#[case::continuation_may_have_run(
    vec![copied("h"), copied("h"), Event::SourceClosed, Event::ContinueFailed],
    Some(Action::End { unused: None }), Outcome::Lost)]
#[case::ended_during_copy(
    vec![Event::StreamEnded, copied("h")],
    Some(Action::Free { handle: "h".to_owned() }), Outcome::Ended)]
#[case::ended_during_stop(
    vec![copied("h"), Event::StreamEnded, Event::Answered(CopyOutcome::NoRun)],
    Some(Action::Free { handle: "h".to_owned() }), Outcome::Ended)]
#[case::ended_unconfirmed(
    vec![copied("h"), no_answer(), Event::StreamEnded],
    Some(Action::Free { handle: "h".to_owned() }), Outcome::Ended)]
#[case::source_dies_during_copy(
    vec![Event::SourceClosed, no_answer()], Some(Action::End { unused: None }), Outcome::Refused)]
#[case::run_outlives_connection(
    vec![Event::SourceClosed, copied("h"), copied("h"), Event::Continued], None, Outcome::Moved)]
#[case::run_ends_with_connection(
    vec![copied("h"), Event::SourceClosed, no_answer(), Event::Answered(CopyOutcome::NoRun),
        Event::Continued],
    None, Outcome::Moved)]
#[case::engine_gone(
    vec![copied("h"), Event::SourceClosed, Event::Answered(CopyOutcome::EngineGone),
        Event::Continued],
    None, Outcome::Moved)]
#[case::end_of_run_not_shown(
    vec![copied("h"), Event::SourceClosed, no_answer(), no_answer()],
    Some(Action::End { unused: Some("h".to_owned()) }), Outcome::Lost)]
fn move_ends(#[case] events: Vec<Event>, #[case] last: Option<Action>, #[case] outcome: Outcome) {
    let mut moving = Move::default();
    assert_eq!(moving.begin(), Some(Action::Copy));
    let actions: Vec<Option<Action>> = events.into_iter().map(|e| moving.apply(e)).collect();
    assert_eq!(actions.last(), Some(&last), "{actions:?}");
    assert_eq!(moving.outcome(), Some(outcome));
    assert!(!moving.in_progress());
}

/// Guards against a continuation while the source may still run the request: the end of its
/// connection is awaited, and then the run is stopped again.
#[test]
fn unanswered_stop_waits_for_close() {
    let mut moving = Move::default();
    moving.begin();
    moving.apply(copied("h"));
    assert_eq!(moving.apply(no_answer()), Some(Action::Stay));
    assert_eq!(moving.phase(), Phase::Unconfirmed);
    assert_eq!(moving.apply(Event::SourceClosed), Some(Action::Stop));
    let action = moving.apply(Event::Answered(CopyOutcome::NoRun));
    assert_eq!(action, at(Site::Destination, "h"));
}

/// The engines and the connection of a stream that moves, as far as the entry could know.
#[derive(Debug, Default)]
struct World {
    /// Whether the source's connection has ended or the stream is over.
    closed: bool,
    ended: bool,
    /// Whether a copy call waits for its answer, and whether it is to stop the run.
    calling: bool,
    stopping: bool,
    /// Calls to stop the run that began after the close.
    late_stops: usize,
    /// Whether the source was shown not to run the request any more.
    run_ended: bool,
    /// The continuation that waits for its answer.
    continuing: Option<String>,
    /// Whether the stream runs again after it was closed.
    running: bool,
    handles: u32,
    /// Handles that were used or may have been used.
    used: HashSet<String>,
    freed: HashSet<String>,
    over: bool,
    /// The latest copy that the entry knows of.
    copy: Option<String>,
}

impl World {
    /// The events that can happen now.
    fn possible(&self) -> Vec<Event> {
        let handle = format!("h{}", self.handles);
        let mut events = Vec::new();
        if self.calling {
            events.extend([
                copied(&handle),
                refused(None),
                refused(Some(&handle)),
                no_answer(),
                Event::Answered(CopyOutcome::NoRun),
                Event::Answered(CopyOutcome::Busy),
                Event::Answered(CopyOutcome::EngineGone),
            ]);
        }
        if !self.closed && !self.ended {
            events.push(Event::SourceClosed);
        }
        if !self.ended {
            events.push(Event::StreamEnded);
        }
        if self.continuing.is_some() && !self.ended {
            events.extend([
                Event::Continued,
                Event::ContinueRefused,
                Event::ContinueFailed,
            ]);
        }
        events
    }

    fn happens(&mut self, event: &Event) {
        match event {
            Event::Answered(outcome) => {
                self.calling = false;
                self.run_ended |= std::mem::take(&mut self.stopping) && outcome.is_certain();
                self.handles += 1;
                if let CopyOutcome::Copied { handle, .. } = outcome {
                    self.copy = Some(handle.clone());
                }
            }
            Event::SourceClosed => self.closed = true,
            Event::StreamEnded => self.ended = true,
            Event::Continued | Event::ContinueFailed => {
                self.used.extend(self.continuing.take());
                self.running = *event == Event::Continued;
            }
            Event::ContinueRefused => self.continuing = None,
            Event::NoDestination => self.calling = false,
        }
    }

    /// Checks and carries out an action.
    fn perform(&mut self, action: Option<Action>) {
        match action {
            None => {}
            Some(Action::Copy | Action::CopyElsewhere) => {
                assert!(!self.calling, "two copy calls at a time");
                assert!(!self.closed && !self.ended, "copied after the stream's end");
                self.calling = true;
            }
            Some(Action::Stop) => {
                assert!(!self.calling, "two copy calls at a time");
                assert!(!self.ended, "stopped after the stream's end");
                self.late_stops += usize::from(self.closed);
                assert!(self.late_stops <= 1, "calls again after the close");
                (self.calling, self.stopping) = (true, true);
            }
            Some(Action::Continue { handle, .. }) => {
                assert!(self.closed, "continued while the source delivers events");
                assert!(self.run_ended, "continued while the source may run it");
                assert!(!self.ended, "continued after the end");
                assert!(
                    !self.running && self.continuing.is_none(),
                    "two engines at work"
                );
                assert!(!self.used.contains(&handle), "handle used twice");
                assert!(!self.freed.contains(&handle), "freed handle used");
                self.continuing = Some(handle);
            }
            Some(Action::AwaitClose) => {
                assert!(!self.closed, "awaits the close of a closed connection");
            }
            Some(Action::Stay) => assert!(!self.closed, "stays at a closed source"),
            Some(Action::End { unused }) => {
                assert!(self.closed && !self.running);
                self.freed.extend(unused);
                self.over = true;
            }
            Some(Action::Free { handle }) => {
                assert!(self.ended && self.freed.insert(handle), "freed twice");
            }
        }
    }

    fn step(&mut self, moving: &mut Move, event: Event) {
        self.happens(&event);
        let action = moving.apply(event);
        self.perform(action);
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[29; 32]))
}

/// Guards against orders of events in which two engines run the stream, a handle is used
/// twice, the stream continues while the source still delivers events, a copy is left behind
/// or the move never ends.
#[test]
fn any_order_is_safe_and_ends() {
    let picks = prop::collection::vec(any::<prop::sample::Index>(), 1..14);
    runner(5_000)
        .run(&picks, |picks| {
            let mut world = World::default();
            let mut moving = Move::default();
            world.perform(moving.begin());
            for pick in picks {
                let possible = world.possible();
                if possible.is_empty() || world.over {
                    break;
                }
                world.step(&mut moving, pick.get(&possible).clone());
            }
            // Every call ends by its timeout at the latest, and every stream by its deadline.
            while world.calling {
                world.step(&mut moving, no_answer());
            }
            if world.continuing.is_some() && !world.ended {
                world.step(&mut moving, Event::ContinueFailed);
            }
            if !world.ended && !world.over {
                world.step(&mut moving, Event::StreamEnded);
            }
            prop_assert!(moving.outcome().is_some(), "{moving:?}");
            prop_assert!(!moving.in_progress(), "{moving:?}");
            // A later handle takes the place of an earlier one.
            let number = |h: &String| h[1..].parse::<u32>().ok();
            let last = world.used.iter().chain(&world.freed).filter_map(number);
            let copy = world.copy.as_ref().and_then(number);
            prop_assert!(copy <= last.max(), "{copy:?} left behind: {moving:?}");
            Ok(())
        })
        .expect("no counterexample");
}

/// Guards against events that nobody expects, such as an answer to no call, leading to an
/// action that is not safe.
#[test]
fn unexpected_events_are_ignored() {
    let events = prop_oneof![
        Just(copied("h")),
        Just(refused(None)),
        Just(refused(Some("h"))),
        Just(no_answer()),
        Just(Event::NoDestination),
        Just(Event::SourceClosed),
        Just(Event::StreamEnded),
        Just(Event::Continued),
        Just(Event::ContinueRefused),
        Just(Event::ContinueFailed),
    ];
    runner(5_000)
        .run(&prop::collection::vec(events, 1..12), |events| {
            let mut moving = Move::default();
            moving.begin();
            let (mut closed, mut ended, mut used) = (false, false, false);
            let mut continuing = false;
            for event in events {
                closed |= event == Event::SourceClosed;
                ended |= event == Event::StreamEnded;
                if matches!(event, Event::Continued | Event::ContinueFailed) {
                    used |= std::mem::take(&mut continuing);
                }
                if event == Event::ContinueRefused {
                    continuing = false;
                }
                if let Some(Action::Continue { .. }) = moving.apply(event) {
                    prop_assert!(closed && !ended && !used && !continuing);
                    continuing = true;
                }
            }
            Ok(())
        })
        .expect("no counterexample");
}
