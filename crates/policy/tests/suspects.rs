//! Requests under which servers crash, and those that are only near.

use std::time::{Duration, Instant};

use policy::suspects::{CRASH_LIMIT, CRASH_TTL, Crash, CrashSuspects, Fingerprint, MAX_CRASHES};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::from_parts(&[name.as_bytes()])
}

/// Sees servers crash under a request; returns how many of the crashes were new.
fn see(
    suspects: &mut CrashSuspects,
    now: Instant,
    name: &str,
    lives: std::ops::Range<u64>,
) -> usize {
    let new = lives.map(|life| {
        suspects
            .server_crashed(now, life, &[fingerprint(name)])
            .len()
    });
    new.sum()
}

#[test]
fn refused_from_the_third_life_on() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    see(&mut suspects, now, "fatal", 0..2);
    assert_eq!(suspects.refusal_left(now, fingerprint("fatal")), None);
    see(&mut suspects, now, "fatal", 2..3);
    assert_eq!(
        suspects.refusal_left(now, fingerprint("fatal")),
        Some(CRASH_TTL)
    );
    assert_eq!(suspects.refusal_left(now, fingerprint("other")), None);
}

/// Guards against an innocent request being refused because several entries
/// tell of one server that crashed, or one of them several times.
#[test]
fn one_life_counts_once() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    let crash = Crash {
        fingerprint: fingerprint("near"),
        incarnation: 1,
    };
    assert!(suspects.add_crash(now, crash, Duration::ZERO));
    for _ in 0..CRASH_LIMIT {
        assert!(!suspects.add_crash(now, crash, Duration::ZERO));
        assert!(
            suspects
                .server_crashed(now, 1, &[crash.fingerprint, crash.fingerprint])
                .is_empty()
        );
    }
    assert_eq!(suspects.refusal_left(now, crash.fingerprint), None);
    assert_eq!(suspects.crash_count(), 1);
}

/// Guards against a request that is sent all the time being refused because a
/// whole rack of servers crashed under its copies.
#[test]
fn served_lately_is_not_suspected() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    suspects.request_served(fingerprint("poll"));
    assert_eq!(see(&mut suspects, now, "poll", 0..20), 0);
    assert_eq!(suspects.refusal_left(now, fingerprint("poll")), None);
}

#[test]
fn served_is_cleared() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    see(&mut suspects, now, "near", 0..2);
    let mut cleared: Vec<u64> = suspects
        .request_served(fingerprint("near"))
        .iter()
        .map(|e| e.incarnation)
        .collect();
    cleared.sort_unstable();
    assert_eq!(cleared, [0, 1]);
    assert!(suspects.is_empty());
}

/// Guards against a request being refused for ever although the servers were
/// mended.
#[test]
fn let_go_of_after_a_while() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    see(&mut suspects, now, "fatal", 0..3);
    let last = now + CRASH_TTL;
    assert_eq!(
        suspects.refusal_left(last - MS, fingerprint("fatal")),
        Some(MS)
    );
    assert_eq!(suspects.refusal_left(last, fingerprint("fatal")), None);
    assert_eq!(suspects.expire(last).len(), 3);
    assert!(suspects.is_empty());
}

#[rstest]
#[case::fresh(Duration::ZERO, true)]
#[case::nearly_over(CRASH_TTL - MS, true)]
#[case::over(CRASH_TTL, false)]
#[case::long_over(CRASH_TTL * 9, false)]
fn told_late(#[case] age: Duration, #[case] held: bool) {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    let crash = Crash {
        fingerprint: fingerprint("fatal"),
        incarnation: 7,
    };
    assert_eq!(suspects.add_crash(now, crash, age), held);
    assert_eq!(suspects.crash_age(now, crash), held.then_some(age));
    assert_eq!(suspects.is_empty(), !held);
}

/// Guards against memory that grows with the servers that crash: the requests
/// that are refused stay known, however many others were near.
#[test]
fn memory_is_bounded() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    see(&mut suspects, now, "fatal", 0..3);
    for n in 0..MAX_CRASHES as u64 + 1000 {
        let name = format!("near-{n}");
        see(&mut suspects, now + MS, &name, n..n + 1);
        assert!(suspects.crash_count() <= MAX_CRASHES);
    }
    assert!(suspects.refusal_left(now, fingerprint("fatal")).is_some());
    assert_eq!(suspects.refusal_left(now, fingerprint("near-0")), None);
}

#[test]
fn parts_are_kept_apart() {
    let one = Fingerprint::from_parts(&[b"POST", b"/a", b"b"]);
    assert_ne!(one, Fingerprint::from_parts(&[b"POST", b"/ab", b""]));
    assert_eq!(one, Fingerprint::from_parts(&[b"POST", b"/a", b"b"]));
}

#[rstest]
#[case::empty("")]
#[case::no_life("00ff")]
#[case::no_number("x-1")]
#[case::too_long("00ff-11112222333344445")]
fn nonsense_is_no_end(#[case] text: &str) {
    assert!(text.parse::<Crash>().is_err());
}

#[test]
fn key_names_the_end() {
    let crash = Crash {
        fingerprint: fingerprint("fatal"),
        incarnation: 12,
    };
    assert_eq!(crash.to_string().parse(), Ok(crash));
}

/// The load of many entries, each of which gets a few of the tries: with a try
/// each 100 ms and 300 ms until all know of a crash, the request reaches at most
/// three servers after the third has crashed.
#[test]
fn replay_tries_at_many_entries() {
    let (mut fleet, mut told) = (
        vec![CrashSuspects::default(), CrashSuspects::default()],
        Vec::new(),
    );
    fleet.resize_with(188, CrashSuspects::default);
    let (start, fatal) = (Instant::now(), fingerprint("fatal"));
    let mut crashed = 0u64;
    for try_no in 0..100u32 {
        let now = start + MS * 100 * try_no;
        told.retain(|(at, crash): &(Instant, Crash)| {
            let due = *at <= now;
            if due {
                for entry in &mut fleet {
                    entry.add_crash(now, *crash, Duration::ZERO);
                }
            }
            !due
        });
        let entry = &mut fleet[try_no as usize * 37 % 188];
        if entry.refusal_left(now, fatal).is_none() {
            let crashes = entry.server_crashed(now, crashed, &[fatal]);
            told.extend(crashes.into_iter().map(|crash| (now + MS * 300, crash)));
            crashed += 1;
        }
    }
    assert!(crashed <= 6, "{crashed} servers crashed");
}
