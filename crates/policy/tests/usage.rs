//! Counting usage and fixing what is reported, replayed by the losses that it
//! has to bear.

use std::time::{Duration, Instant};

use policy::fleet_time::FleetTime;
use policy::usage::{UsageCounter, UsageState, UsageWindows, WindowCounts, WorkspaceCounts};
use rstest::rstest;

const SPAN: Duration = Duration::from_secs(5);
const DUE: Duration = Duration::from_secs(10);
const WINDOWS: UsageWindows = UsageWindows {
    length: SPAN,
    deadline: DUE,
};

/// The window in which the tests begin.
const FIRST: u64 = 1000;

/// A holder that has held the duty for long.
const HELD: Duration = Duration::from_secs(60);

/// A time of day, so long after the first window began.
fn after(seconds: f64) -> Duration {
    SPAN * FIRST as u32 + Duration::from_secs_f64(seconds)
}

fn books(life: u64) -> UsageCounter {
    UsageCounter::new(life, WINDOWS)
}

fn account() -> UsageState {
    UsageState::starting_at(FIRST)
}

fn counts(counts: &[(&str, u64)]) -> WorkspaceCounts {
    let counts = counts.iter();
    counts.map(|(name, n)| ((*name).to_owned(), *n)).collect()
}

/// Lets a life count `n` requests of a workspace at a time.
fn count(books: &mut UsageCounter, now: Instant, seconds: f64, workspace: &str, n: u64) {
    for _ in 0..n {
        books.count_request(now, after(seconds), workspace);
    }
}

/// Tells one life's counts to another.
fn tell(now: Instant, seconds: f64, from: &mut UsageCounter, to: &mut UsageCounter) {
    for told in from.own_counts(now, after(seconds), FIRST) {
        to.observe(now, told);
    }
}

#[test]
fn counts_whole() {
    // Two entries count, and tell the holder twice and in parts. Each request
    // counts once, in the window in which it began, and the window is fixed as
    // soon as both have closed it.
    let now = Instant::now();
    let (mut holder, mut other) = (books(1), books(2));
    let mut account = account();
    count(&mut holder, now, 1.0, "mairie", 3);
    count(&mut other, now, 4.9, "mairie", 4);
    count(&mut other, now, 5.1, "mairie", 9);
    tell(now, 4.9, &mut other, &mut holder);
    tell(now, 5.2, &mut other, &mut holder);
    tell(now, 5.2, &mut other, &mut holder);
    holder.own_counts(now, after(5.2), FIRST);
    assert!(
        holder
            .finalize(after(5.1), HELD, true, &mut account)
            .is_empty()
    );
    assert!(account.finalized.is_empty(), "clocks are apart a little");
    holder.finalize(after(5.2), HELD, true, &mut account);
    assert_eq!(account.finalized[&FIRST], counts(&[("mairie", 7)]));
    assert_eq!(account.next_window, FIRST + 1);
}

#[test]
fn part_lost() {
    // An entry's counts go into two datagrams, and one is lost. The window
    // waits for it, since the total tells that something is missing.
    let now = Instant::now();
    let mut holder = books(1);
    let mut account = account();
    let part = |name: &str| WindowCounts {
        incarnation: 2,
        closed_before: FIRST + 1,
        window: FIRST,
        total: 5,
        counts: counts(&[(name, if name == "mairie" { 3 } else { 2 })]),
    };
    holder.observe(now, part("mairie"));
    holder.finalize(after(6.0), HELD, true, &mut account);
    assert!(account.finalized.is_empty());
    holder.observe(now, part("ecole"));
    holder.finalize(after(6.0), HELD, true, &mut account);
    assert_eq!(
        account.finalized[&FIRST],
        counts(&[("ecole", 2), ("mairie", 3)])
    );
}

#[test]
fn entry_killed() {
    // An entry is killed in a window. What it had told counts, and the report
    // waits for it, but not so long that it would come too late.
    let now = Instant::now();
    let (mut holder, mut other) = (books(1), books(2));
    let mut account = account();
    count(&mut other, now, 3.0, "mairie", 4);
    tell(now, 3.1, &mut other, &mut holder);
    let late = |seconds| now + Duration::from_secs_f64(seconds);
    holder.own_counts(late(6.0), after(6.0), FIRST);
    holder.finalize(after(6.0), HELD, true, &mut account);
    assert!(account.finalized.is_empty(), "its host may only be cut off");
    holder.own_counts(late(10.0), after(10.0), FIRST);
    holder.finalize(after(10.0), HELD, true, &mut account);
    assert_eq!(account.finalized[&FIRST], counts(&[("mairie", 4)]));
}

#[test]
fn entry_expected() {
    // A new holder has heard one of two entries that are there. It waits for
    // the other one's counts, and after taking the duty for a while in any
    // case: entries only learn of it then.
    let now = Instant::now();
    let (mut holder, mut other) = (books(1), books(2));
    let mut account = account();
    count(&mut other, now, 3.0, "mairie", 4);
    tell(now, 5.3, &mut other, &mut holder);
    holder.own_counts(now, after(5.3), FIRST);
    holder.finalize(after(5.3), HELD, false, &mut account);
    holder.finalize(after(9.9), Duration::from_millis(100), true, &mut account);
    assert!(account.finalized.is_empty());
    holder.finalize(after(5.3), HELD, true, &mut account);
    assert_eq!(account.finalized[&FIRST], counts(&[("mairie", 4)]));
}

#[test]
fn all_killed() {
    // Every process is killed in a window. The store keeps what had been
    // counted; the new lives count on, and the report has both.
    let now = Instant::now();
    let (mut a, mut b) = (books(1), books(2));
    count(&mut a, now, 1.0, "mairie", 10);
    count(&mut b, now, 1.0, "ecole", 20);
    tell(now, 2.0, &mut b, &mut a);
    let kept = a.snapshot(after(2.0), &account());

    let mut next = books(3);
    let mut account = kept;
    count(&mut next, now, 4.0, "mairie", 5);
    next.own_counts(now, after(5.3), FIRST);
    next.finalize(after(5.3), HELD, true, &mut account);
    assert_eq!(
        account.finalized[&FIRST],
        counts(&[("ecole", 20), ("mairie", 15)])
    );
}

#[test]
fn holder_killed() {
    // The holder is killed, and one that heard all counts follows. What the
    // store keeps is of lives that it knows itself, but for the dead holder's
    // own: nothing counts twice.
    let now = Instant::now();
    let (mut a, mut b, mut c) = (books(1), books(2), books(3));
    count(&mut a, now, 1.0, "mairie", 10);
    count(&mut b, now, 1.0, "mairie", 20);
    tell(now, 2.0, &mut b, &mut a);
    let mut account = a.snapshot(after(2.0), &account());
    count(&mut b, now, 3.0, "mairie", 2);
    tell(now, 5.3, &mut b, &mut c);
    c.own_counts(now, after(5.3), FIRST);
    c.finalize(after(5.3), HELD, true, &mut account);
    assert_eq!(account.finalized[&FIRST], counts(&[("mairie", 32)]));
}

#[test]
fn outage_long() {
    // The store was away for longer than a report may wait. Windows that are
    // still due are reported, the others are given up by name.
    let now = Instant::now();
    let mut holder = books(1);
    let mut account = account();
    count(&mut holder, now, 1.0, "mairie", 1);
    count(&mut holder, now, 12.0, "mairie", 2);
    holder.own_counts(now, after(16.0), FIRST);
    let missed = holder.finalize(after(16.0), HELD, true, &mut account);
    assert_eq!(missed, [FIRST]);
    let fixed: Vec<u64> = account.finalized.keys().copied().collect();
    assert_eq!(fixed, [FIRST + 1, FIRST + 2]);
    assert_eq!(account.finalized[&(FIRST + 2)], counts(&[("mairie", 2)]));
}

#[test]
fn first_ever() {
    // Nobody has held the duty before, and its first holder is killed at once.
    // What it wrote says with which window reports begin, so that its
    // successor does not begin with a later one.
    let mut holder = books(1);
    let now = Instant::now();
    count(&mut holder, now, 1.0, "mairie", 1);
    let begun = UsageState::starting_at(WINDOWS.containing(after(2.0)));
    let kept = holder.snapshot(after(2.0), &begun);
    assert_eq!(kept.next_window, FIRST);
    assert_eq!(kept.open.keys().copied().collect::<Vec<_>>(), [FIRST]);
}

#[test]
fn closed_is_closed() {
    // The time that the hosts agree on goes back a little over a window's
    // border. What begins then counts for the next window: the holder may have
    // reported the one that was told to be closed.
    let now = Instant::now();
    let (mut holder, mut other) = (books(1), books(2));
    tell(now, 5.3, &mut other, &mut holder);
    count(&mut other, now, 4.9, "mairie", 1);
    tell(now, 5.4, &mut other, &mut holder);
    assert!(holder.sum(FIRST, &account()).counts.is_empty());
    let next = holder.sum(FIRST + 1, &account());
    assert_eq!(next.counts, counts(&[("mairie", 1)]));
}

#[rstest]
#[case::none(&[0, 0, 0, 0, 0], 0)]
#[case::others_ahead(&[2000, 0, 0, 2000, 0], 0)]
#[case::own_ahead(&[0, 0, 0, 0, 2000], 0)]
#[case::back(&[-2000, -2000, 0, 0, 0], 0)]
#[case::apart(&[-3, 1, 4, 2, -8], 1)]
fn clock_step(#[case] ahead: &[i64], #[case] expected: i64) {
    // The time of day steps by two seconds on some hosts, the own one among
    // them (the last). No window's border moves for any of them.
    let start = Instant::now();
    let mut time = FleetTime::new(start);
    let now = start + Duration::from_secs(7);
    let wall = |ahead: i64| {
        let ms = 1_000_000i64 + 7000 + ahead;
        Duration::from_millis(u64::try_from(ms).expect("positive"))
    };
    let (own, peers) = ahead.split_last().expect("some");
    for (peer, ahead) in peers.iter().enumerate() {
        time.observe(now, peer as u64, wall(*ahead));
    }
    let later = now + Duration::from_secs(1);
    let own = wall(*own) + Duration::from_secs(1);
    let expected = wall(expected) + Duration::from_secs(1);
    assert_eq!(time.now(later, own), expected);
}

#[test]
fn clock_step_of_all() {
    // The time of day steps on all hosts at once, and back after some seconds.
    // The hosts' time goes on evenly. A step that stays is followed in the
    // end, as it may have mended clocks that were wrong.
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
fn clock_alone() {
    // An entry that hears nobody goes by its own clock, and by that of hosts
    // that were heard long ago no more.
    let start = Instant::now();
    let mut time = FleetTime::new(start);
    for peer in 0..5 {
        time.observe(start, peer, Duration::from_secs(500));
    }
    let later = start + Duration::from_secs(60);
    let own = Duration::from_secs(2000);
    assert_eq!(time.now(later, own), own);
}

/// Guards against a window being fixed a second time, with other counts, because
/// the store lost that it was fixed.
#[test]
fn lost_windows_are_not_fixed_again() {
    let mut own = UsageState::starting_at(FIRST + 3);
    own.finalized.insert(FIRST + 1, counts(&[("mairie", 4)]));
    own.finalized.insert(FIRST + 2, counts(&[("mairie", 5)]));
    let mut read = account();
    read.finalized.insert(FIRST - 1, counts(&[("ecole", 1)]));
    assert_eq!(read.catch_up(FIRST + 2, &own), [FIRST]);
    assert_eq!(read.next_window, FIRST + 2);
    let fixed: Vec<u64> = read.finalized.keys().copied().collect();
    assert_eq!(fixed, [FIRST - 1, FIRST + 1]);
    // What the store knows better stays.
    assert!(read.catch_up(FIRST, &UsageState::default()).is_empty());
    assert_eq!(read.next_window, FIRST + 2);
}
