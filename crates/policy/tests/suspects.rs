//! Requests that crash servers, and innocent ones that ran beside them.

use std::time::{Duration, Instant};

use policy::suspects::{
    CRASH_LIMIT, CRASH_TTL, Crash, CrashRecord, CrashReport, CrashSuspects, Fingerprint,
    MAX_CRASHES,
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::from_parts(&[name.as_bytes()])
}

/// For how long a request whose prompt has no parts is refused.
fn refusal_left(suspects: &CrashSuspects, now: Instant, name: &str) -> Option<Duration> {
    suspects.refusal_left(now, fingerprint(name), &[])
}

/// The report of a crash that has just been seen.
fn report(name: &str, incarnation: u64) -> CrashReport {
    let crash = Crash {
        fingerprint: fingerprint(name),
        incarnation,
    };
    CrashReport::without_parts(crash, Duration::ZERO)
}

/// Lets servers crash while running a request; returns the number of new crashes.
fn crash_servers(
    suspects: &mut CrashSuspects,
    now: Instant,
    name: &str,
    incarnations: std::ops::Range<u64>,
) -> usize {
    let new = incarnations.map(|incarnation| {
        suspects
            .server_crashed(now, vec![report(name, incarnation)])
            .len()
    });
    new.sum()
}

#[test]
fn refused_after_three_crashes() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    crash_servers(&mut suspects, now, "fatal", 0..2);
    assert_eq!(refusal_left(&suspects, now, "fatal"), None);
    crash_servers(&mut suspects, now, "fatal", 2..3);
    assert_eq!(refusal_left(&suspects, now, "fatal"), Some(CRASH_TTL));
    assert_eq!(refusal_left(&suspects, now, "other"), None);
}

/// Guards against an innocent request being refused because several entries report
/// the crash of one server, or one entry reports it several times.
#[test]
fn one_incarnation_counts_once() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    let crash = Crash {
        fingerprint: fingerprint("innocent"),
        incarnation: 1,
    };
    let seen = CrashReport::without_parts(crash, Duration::ZERO);
    assert!(suspects.add_crash(now, &seen));
    for _ in 0..CRASH_LIMIT {
        assert!(!suspects.add_crash(now, &seen));
        assert!(
            suspects
                .server_crashed(now, vec![seen.clone(), seen.clone()])
                .is_empty()
        );
    }
    assert_eq!(refusal_left(&suspects, now, "innocent"), None);
    assert_eq!(suspects.crash_count(), 1);
}

/// Guards against a request that is sent all the time being refused because a
/// whole rack of servers crashed while running copies of it.
#[test]
fn recently_served_is_not_suspected() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    suspects.request_served(fingerprint("poll"));
    assert_eq!(crash_servers(&mut suspects, now, "poll", 0..20), 0);
    assert_eq!(refusal_left(&suspects, now, "poll"), None);
}

#[test]
fn served_is_cleared() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    crash_servers(&mut suspects, now, "innocent", 0..2);
    let mut cleared: Vec<u64> = suspects
        .request_served(fingerprint("innocent"))
        .iter()
        .map(|e| e.incarnation)
        .collect();
    cleared.sort_unstable();
    assert_eq!(cleared, [0, 1]);
    assert!(suspects.is_empty());
}

/// Guards against a request being refused forever although the servers were fixed.
#[test]
fn crashes_expire() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    crash_servers(&mut suspects, now, "fatal", 0..3);
    let last = now + CRASH_TTL;
    assert_eq!(refusal_left(&suspects, last - MS, "fatal"), Some(MS));
    assert_eq!(refusal_left(&suspects, last, "fatal"), None);
    assert_eq!(suspects.expire(last).len(), 3);
    assert!(suspects.is_empty());
}

#[rstest]
#[case::fresh(Duration::ZERO, true)]
#[case::nearly_over(CRASH_TTL - MS, true)]
#[case::over(CRASH_TTL, false)]
#[case::long_over(CRASH_TTL * 9, false)]
fn late_report(#[case] age: Duration, #[case] held: bool) {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    let crash = Crash {
        fingerprint: fingerprint("fatal"),
        incarnation: 7,
    };
    let late = CrashReport::without_parts(crash, age);
    assert_eq!(suspects.add_crash(now, &late), held);
    assert_eq!(suspects.report(now, crash), held.then_some(late));
    assert_eq!(suspects.is_empty(), !held);
}

/// Guards against memory that grows with the number of crashes. Refused requests
/// stay known, however many innocent ones ran beside them.
#[test]
fn memory_is_bounded() {
    let (mut suspects, now) = (CrashSuspects::default(), Instant::now());
    crash_servers(&mut suspects, now, "fatal", 0..3);
    for n in 0..MAX_CRASHES as u64 + 1000 {
        let name = format!("innocent-{n}");
        crash_servers(&mut suspects, now + MS, &name, n..n + 1);
        assert!(suspects.crash_count() <= MAX_CRASHES);
    }
    assert!(refusal_left(&suspects, now, "fatal").is_some());
    assert_eq!(refusal_left(&suspects, now, "innocent-0"), None);
}

#[test]
fn parts_are_delimited() {
    let one = Fingerprint::from_parts(&[b"POST", b"/a", b"b"]);
    assert_ne!(one, Fingerprint::from_parts(&[b"POST", b"/ab", b""]));
    assert_eq!(one, Fingerprint::from_parts(&[b"POST", b"/a", b"b"]));
}

#[rstest]
#[case::empty("")]
#[case::no_incarnation("00ff")]
#[case::no_number("x-1")]
#[case::too_long("00ff-11112222333344445")]
fn invalid_crash_keys(#[case] text: &str) {
    assert!(text.parse::<Crash>().is_err());
}

#[test]
fn crash_key_round_trip() {
    let crash = Crash {
        fingerprint: fingerprint("fatal"),
        incarnation: 12,
    };
    assert_eq!(crash.to_string().parse(), Ok(crash));
}

/// Many entries each get a few of the attempts. With an attempt every 100 ms and
/// 300 ms until all entries know of a crash, the request crashes at most three
/// servers after the third one.
#[test]
fn attempts_at_many_entries() {
    let (mut entries, mut reports) = (
        vec![CrashSuspects::default(), CrashSuspects::default()],
        Vec::new(),
    );
    entries.resize_with(188, CrashSuspects::default);
    let start = Instant::now();
    let mut crashed = 0u64;
    for attempt in 0..100u32 {
        let now = start + MS * 100 * attempt;
        reports.retain(|(at, crash): &(Instant, CrashReport)| {
            let due = *at <= now;
            if due {
                for entry in &mut entries {
                    entry.add_crash(now, crash);
                }
            }
            !due
        });
        let entry = &mut entries[attempt as usize * 37 % 188];
        if refusal_left(entry, now, "fatal").is_none() {
            let crashes = entry.server_crashed(now, vec![report("fatal", crashed)]);
            reports.extend(crashes.into_iter().map(|crash| (now + MS * 300, crash)));
            crashed += 1;
        }
    }
    assert!(crashed <= 6, "{crashed} servers crashed");
}

/// Guards against a record of another writer that takes memory for each of thousands of
/// parts.
#[test]
fn parts_of_long_record_limited() {
    let parts: Vec<String> = (0..100_000).map(|part| format!("{part:x}")).collect();
    let text = format!("1790000000123 40 {} began", parts.join(","));
    let record: CrashRecord = text.parse().expect("a record");
    assert!(record.just_began && record.shared_parts.len() <= 64);
    assert_eq!(record.shared_parts[..3], [0, 1, 2]);
}
