//! Tests that usage is counted completely and finalized once, under the losses that the
//! counter must tolerate.

use std::time::{Duration, Instant};

use policy::fleet_time::FleetTime;
use policy::usage::{UsageCounter, UsageState, UsageWindows, WindowCounts, WorkspaceCounts};
use rstest::rstest;

const WINDOW_LENGTH: Duration = Duration::from_secs(5);
const REPORT_DEADLINE: Duration = Duration::from_secs(10);
const WINDOWS: UsageWindows = UsageWindows {
    length: WINDOW_LENGTH,
    deadline: REPORT_DEADLINE,
};

/// The window in which the tests begin.
const FIRST: u64 = 1000;

/// Time for which a long-standing holder has held the duty.
const HELD_LONG: Duration = Duration::from_secs(60);

/// The time of day `seconds` after the start of the first window.
fn after(seconds: f64) -> Duration {
    WINDOW_LENGTH * FIRST as u32 + Duration::from_secs_f64(seconds)
}

fn counter(incarnation: u64) -> UsageCounter {
    UsageCounter::new(incarnation, WINDOWS)
}

fn state() -> UsageState {
    UsageState::starting_at(FIRST)
}

fn counts(counts: &[(&str, u64)]) -> WorkspaceCounts {
    let counts = counts.iter();
    counts.map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

/// Counts `n` requests of a workspace at one time.
fn count_requests(counter: &mut UsageCounter, now: Instant, seconds: f64, workspace: &str, n: u64) {
    for _ in 0..n {
        counter.count_request(now, after(seconds), workspace);
    }
}

/// Sends the counts of one incarnation to another.
fn send_counts(now: Instant, seconds: f64, from: &mut UsageCounter, to: &mut UsageCounter) {
    for report in from.own_counts(now, after(seconds), FIRST) {
        to.observe(now, report);
    }
}

#[test]
fn duplicate_and_partial_counts() {
    // Two entries count, and send their counts to the holder twice and in parts. Each
    // request counts once, in the window in which it began, and the window is finalized
    // as soon as both entries have closed it.
    let now = Instant::now();
    let (mut holder, mut other) = (counter(1), counter(2));
    let mut state = state();
    count_requests(&mut holder, now, 1.0, "mairie", 3);
    count_requests(&mut other, now, 4.9, "mairie", 4);
    count_requests(&mut other, now, 5.1, "mairie", 9);
    send_counts(now, 4.9, &mut other, &mut holder);
    send_counts(now, 5.2, &mut other, &mut holder);
    send_counts(now, 5.2, &mut other, &mut holder);
    holder.own_counts(now, after(5.2), FIRST);
    assert!(
        holder
            .finalize(after(5.1), HELD_LONG, true, &mut state)
            .is_empty()
    );
    assert!(
        state.finalized.is_empty(),
        "the window stays open for clock differences"
    );
    holder.finalize(after(5.2), HELD_LONG, true, &mut state);
    assert_eq!(state.finalized[&FIRST], counts(&[("mairie", 7)]));
    assert_eq!(state.next_window, FIRST + 1);
}

#[test]
fn partial_report_lost() {
    // An entry's counts take two datagrams, and one is lost. The window waits for it,
    // since the total shows that counts are missing.
    let now = Instant::now();
    let mut holder = counter(1);
    let mut state = state();
    let partial_report = |name: &str| WindowCounts {
        incarnation: 2,
        closed_before: FIRST + 1,
        window: FIRST,
        total: 5,
        counts: counts(&[(name, if name == "mairie" { 3 } else { 2 })]),
    };
    holder.observe(now, partial_report("mairie"));
    holder.finalize(after(6.0), HELD_LONG, true, &mut state);
    assert!(state.finalized.is_empty());
    holder.observe(now, partial_report("ecole"));
    holder.finalize(after(6.0), HELD_LONG, true, &mut state);
    assert_eq!(
        state.finalized[&FIRST],
        counts(&[("ecole", 2), ("mairie", 3)])
    );
}

#[test]
fn entry_killed() {
    // An entry is killed during a window. The counts that it sent are included. The
    // report waits for further counts, but not past its deadline.
    let now = Instant::now();
    let (mut holder, mut other) = (counter(1), counter(2));
    let mut state = state();
    count_requests(&mut other, now, 3.0, "mairie", 4);
    send_counts(now, 3.1, &mut other, &mut holder);
    let late = |seconds| now + Duration::from_secs_f64(seconds);
    holder.own_counts(late(6.0), after(6.0), FIRST);
    holder.finalize(after(6.0), HELD_LONG, true, &mut state);
    assert!(
        state.finalized.is_empty(),
        "the host may only be disconnected"
    );
    holder.own_counts(late(10.0), after(10.0), FIRST);
    holder.finalize(after(10.0), HELD_LONG, true, &mut state);
    assert_eq!(state.finalized[&FIRST], counts(&[("mairie", 4)]));
}

#[test]
fn entry_counts_missing() {
    // A new holder has received counts from one of two present entries. It waits for
    // the other one's counts, and always for some time after taking over, since entries
    // learn of it only then.
    let now = Instant::now();
    let (mut holder, mut other) = (counter(1), counter(2));
    let mut state = state();
    count_requests(&mut other, now, 3.0, "mairie", 4);
    send_counts(now, 5.3, &mut other, &mut holder);
    holder.own_counts(now, after(5.3), FIRST);
    holder.finalize(after(5.3), HELD_LONG, false, &mut state);
    holder.finalize(after(9.9), Duration::from_millis(100), true, &mut state);
    assert!(state.finalized.is_empty());
    holder.finalize(after(5.3), HELD_LONG, true, &mut state);
    assert_eq!(state.finalized[&FIRST], counts(&[("mairie", 4)]));
}

#[test]
fn all_killed() {
    // Every process is killed during a window. The store keeps the counts so far, the
    // new incarnations continue counting, and the report contains both.
    let now = Instant::now();
    let (mut a, mut b) = (counter(1), counter(2));
    count_requests(&mut a, now, 1.0, "mairie", 10);
    count_requests(&mut b, now, 1.0, "ecole", 20);
    send_counts(now, 2.0, &mut b, &mut a);
    let stored = a.snapshot(after(2.0), &state());

    let mut next = counter(3);
    let mut state = stored;
    count_requests(&mut next, now, 4.0, "mairie", 5);
    next.own_counts(now, after(5.3), FIRST);
    next.finalize(after(5.3), HELD_LONG, true, &mut state);
    assert_eq!(
        state.finalized[&FIRST],
        counts(&[("ecole", 20), ("mairie", 15)])
    );
}

#[test]
fn holder_killed() {
    // The holder is killed, and its successor has received all counts. The stored
    // counts belong to incarnations that the successor knows itself, except for the
    // dead holder's own: nothing counts twice.
    let now = Instant::now();
    let (mut a, mut b, mut c) = (counter(1), counter(2), counter(3));
    count_requests(&mut a, now, 1.0, "mairie", 10);
    count_requests(&mut b, now, 1.0, "mairie", 20);
    send_counts(now, 2.0, &mut b, &mut a);
    let mut state = a.snapshot(after(2.0), &state());
    count_requests(&mut b, now, 3.0, "mairie", 2);
    send_counts(now, 5.3, &mut b, &mut c);
    c.own_counts(now, after(5.3), FIRST);
    c.finalize(after(5.3), HELD_LONG, true, &mut state);
    assert_eq!(state.finalized[&FIRST], counts(&[("mairie", 32)]));
}

#[test]
fn long_store_outage() {
    // The store was unavailable for longer than a report may wait. Windows before their
    // deadline are reported, the others are returned as missed.
    let now = Instant::now();
    let mut holder = counter(1);
    let mut state = state();
    count_requests(&mut holder, now, 1.0, "mairie", 1);
    count_requests(&mut holder, now, 12.0, "mairie", 2);
    holder.own_counts(now, after(16.0), FIRST);
    let missed = holder.finalize(after(16.0), HELD_LONG, true, &mut state);
    assert_eq!(missed, [FIRST]);
    let finalized: Vec<u64> = state.finalized.keys().copied().collect();
    assert_eq!(finalized, [FIRST + 1, FIRST + 2]);
    assert_eq!(state.finalized[&(FIRST + 2)], counts(&[("mairie", 2)]));
}

#[test]
fn first_holder_killed() {
    // The duty has had no holder, and the first one is killed at once. Its record
    // states the first window to report, so that the successor does not start with a
    // later one.
    let mut holder = counter(1);
    let now = Instant::now();
    count_requests(&mut holder, now, 1.0, "mairie", 1);
    let initial = UsageState::starting_at(WINDOWS.containing(after(2.0)));
    let snapshot = holder.snapshot(after(2.0), &initial);
    assert_eq!(snapshot.next_window, FIRST);
    assert_eq!(snapshot.open.keys().copied().collect::<Vec<_>>(), [FIRST]);
}

#[test]
fn closed_window_gets_no_counts() {
    // The agreed time goes back across a window boundary. Requests that begin then
    // count for the next window, since the holder may have reported the window that was
    // announced as closed.
    let now = Instant::now();
    let (mut holder, mut other) = (counter(1), counter(2));
    send_counts(now, 5.3, &mut other, &mut holder);
    count_requests(&mut other, now, 4.9, "mairie", 1);
    send_counts(now, 5.4, &mut other, &mut holder);
    assert!(holder.sum(FIRST, &state()).counts.is_empty());
    let next = holder.sum(FIRST + 1, &state());
    assert_eq!(next.counts, counts(&[("mairie", 1)]));
}

#[rstest]
#[case::none(&[0, 0, 0, 0, 0], 0)]
#[case::peers_ahead(&[2000, 0, 0, 2000, 0], 0)]
#[case::own_ahead(&[0, 0, 0, 0, 2000], 0)]
#[case::peers_behind(&[-2000, -2000, 0, 0, 0], 0)]
#[case::small_differences(&[-3, 1, 4, 2, -8], 1)]
fn clock_step(#[case] offsets: &[i64], #[case] expected: i64) {
    // The time of day steps by two seconds on some hosts, including the own host (the
    // last one). The agreed time does not move on any of them.
    let start = Instant::now();
    let mut time = FleetTime::new(start);
    let now = start + Duration::from_secs(7);
    let wall = |offset: i64| {
        let ms = 1_000_000i64 + 7000 + offset;
        Duration::from_millis(u64::try_from(ms).expect("positive"))
    };
    let (local, peers) = offsets.split_last().expect("at least one clock");
    for (peer, offset) in peers.iter().enumerate() {
        time.observe(now, peer as u64, wall(*offset));
    }
    let later = now + Duration::from_secs(1);
    let local = wall(*local) + Duration::from_secs(1);
    let expected = wall(expected) + Duration::from_secs(1);
    assert_eq!(time.now(later, local), expected);
}

#[test]
fn clock_step_of_all() {
    // The time of day steps on all hosts at once, and back after some seconds: the
    // agreed time does not follow. A step that lasts is followed in the end, since it
    // may have corrected wrong clocks.
    let start = Instant::now();
    let mut time = FleetTime::new(start);
    let true_time = |seconds: u64| Duration::from_secs(10_000 + seconds);
    let step = Duration::from_secs(4);
    for seconds in 0..100 {
        let now = start + Duration::from_secs(seconds);
        let stepped = (10..16).contains(&seconds) || seconds >= 20;
        let wall = match stepped {
            true => true_time(seconds) - step,
            false => true_time(seconds),
        };
        for peer in 0..4 {
            time.observe(now, peer, wall);
        }
        let agreed = time.now(now, wall);
        if seconds < 50 {
            assert_eq!(agreed, true_time(seconds), "after {seconds} s");
        }
        if seconds >= 60 {
            assert_eq!(agreed, wall, "after {seconds} s");
        }
    }
}

#[test]
fn clock_without_peers() {
    // An entry that hears no other host uses its own clock; old readings of other hosts
    // no longer count.
    let start = Instant::now();
    let mut time = FleetTime::new(start);
    for peer in 0..5 {
        time.observe(start, peer, Duration::from_secs(500));
    }
    let later = start + Duration::from_secs(60);
    let local = Duration::from_secs(2000);
    assert_eq!(time.now(later, local), local);
}

/// Guards against a window being finalized a second time, with other counts, because
/// the store lost the record of it.
#[test]
fn lost_windows_are_not_finalized_again() {
    let mut local = UsageState::starting_at(FIRST + 3);
    local.finalized.insert(FIRST + 1, counts(&[("mairie", 4)]));
    local.finalized.insert(FIRST + 2, counts(&[("mairie", 5)]));
    let mut read = state();
    read.finalized.insert(FIRST - 1, counts(&[("ecole", 1)]));
    assert_eq!(read.catch_up(FIRST + 2, &local), [FIRST]);
    assert_eq!(read.next_window, FIRST + 2);
    let finalized: Vec<u64> = read.finalized.keys().copied().collect();
    assert_eq!(finalized, [FIRST - 1, FIRST + 1]);
    // Newer data in the store is kept.
    assert!(read.catch_up(FIRST, &UsageState::default()).is_empty());
    assert_eq!(read.next_window, FIRST + 2);
}
