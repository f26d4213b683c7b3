//! Requests under which servers end, and those that are only near.

use std::time::{Duration, Instant};

use policy::suspects::{ENDS, End, HELD, MOST, Print, Suspects};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn print(name: &str) -> Print {
    Print::of(&[name.as_bytes()])
}

/// Sees servers end under a request; returns how many of the ends were new.
fn see(suspects: &mut Suspects, now: Instant, name: &str, lives: std::ops::Range<u64>) -> usize {
    let new = lives.map(|life| suspects.ended(now, life, &[print(name)]).len());
    new.sum()
}

#[test]
fn refused_from_the_third_life_on() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    see(&mut suspects, now, "fatal", 0..2);
    assert_eq!(suspects.refused(now, print("fatal")), None);
    see(&mut suspects, now, "fatal", 2..3);
    assert_eq!(suspects.refused(now, print("fatal")), Some(HELD));
    assert_eq!(suspects.refused(now, print("other")), None);
}

/// Guards against an innocent request being refused because several entries
/// tell of one server that ended, or one of them several times.
#[test]
fn one_life_counts_once() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    let end = End {
        print: print("near"),
        life: 1,
    };
    assert!(suspects.hold(now, end, Duration::ZERO));
    for _ in 0..ENDS {
        assert!(!suspects.hold(now, end, Duration::ZERO));
        assert!(suspects.ended(now, 1, &[end.print, end.print]).is_empty());
    }
    assert_eq!(suspects.refused(now, end.print), None);
    assert_eq!(suspects.count(), 1);
}

/// Guards against a request that is sent all the time being refused because a
/// whole rack of servers ended under its copies.
#[test]
fn served_lately_is_not_suspected() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    suspects.served(print("poll"));
    assert_eq!(see(&mut suspects, now, "poll", 0..20), 0);
    assert_eq!(suspects.refused(now, print("poll")), None);
}

#[test]
fn served_is_cleared() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    see(&mut suspects, now, "near", 0..2);
    let mut cleared: Vec<u64> = suspects
        .served(print("near"))
        .iter()
        .map(|e| e.life)
        .collect();
    cleared.sort_unstable();
    assert_eq!(cleared, [0, 1]);
    assert!(suspects.is_empty());
}

/// Guards against a request being refused for ever although the servers were
/// mended.
#[test]
fn let_go_of_after_a_while() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    see(&mut suspects, now, "fatal", 0..3);
    let last = now + HELD;
    assert_eq!(suspects.refused(last - MS, print("fatal")), Some(MS));
    assert_eq!(suspects.refused(last, print("fatal")), None);
    assert_eq!(suspects.expire(last).len(), 3);
    assert!(suspects.is_empty());
}

#[rstest]
#[case::fresh(Duration::ZERO, true)]
#[case::nearly_over(HELD - MS, true)]
#[case::over(HELD, false)]
#[case::long_over(HELD * 9, false)]
fn told_late(#[case] age: Duration, #[case] held: bool) {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    let end = End {
        print: print("fatal"),
        life: 7,
    };
    assert_eq!(suspects.hold(now, end, age), held);
    assert_eq!(suspects.age(now, end), held.then_some(age));
    assert_eq!(suspects.is_empty(), !held);
}

/// Guards against memory that grows with the servers that end: the requests
/// that are refused stay known, however many others were near.
#[test]
fn memory_is_bounded() {
    let (mut suspects, now) = (Suspects::default(), Instant::now());
    see(&mut suspects, now, "fatal", 0..3);
    for n in 0..MOST as u64 + 1000 {
        let name = format!("near-{n}");
        see(&mut suspects, now + MS, &name, n..n + 1);
        assert!(suspects.count() <= MOST);
    }
    assert!(suspects.refused(now, print("fatal")).is_some());
    assert_eq!(suspects.refused(now, print("near-0")), None);
}

#[test]
fn parts_are_kept_apart() {
    let one = Print::of(&[b"POST", b"/a", b"b"]);
    assert_ne!(one, Print::of(&[b"POST", b"/ab", b""]));
    assert_eq!(one, Print::of(&[b"POST", b"/a", b"b"]));
}

#[rstest]
#[case::empty("")]
#[case::no_life("00ff")]
#[case::no_number("x-1")]
#[case::too_long("00ff-11112222333344445")]
fn nonsense_is_no_end(#[case] text: &str) {
    assert!(text.parse::<End>().is_err());
}

#[test]
fn key_names_the_end() {
    let end = End {
        print: print("fatal"),
        life: 12,
    };
    assert_eq!(end.to_string().parse(), Ok(end));
}

/// The load of many entries, each of which gets a few of the tries: with a try
/// each 100 ms and 300 ms until all know of an end, the request reaches at most
/// three servers after the third has ended.
#[test]
fn replay_tries_at_many_entries() {
    let (mut fleet, mut told) = (vec![Suspects::default(), Suspects::default()], Vec::new());
    fleet.resize_with(188, Suspects::default);
    let (start, fatal) = (Instant::now(), print("fatal"));
    let mut ended = 0u64;
    for try_no in 0..100u32 {
        let now = start + MS * 100 * try_no;
        told.retain(|(at, end): &(Instant, End)| {
            let due = *at <= now;
            if due {
                for entry in &mut fleet {
                    entry.hold(now, *end, Duration::ZERO);
                }
            }
            !due
        });
        let entry = &mut fleet[try_no as usize * 37 % 188];
        if entry.refused(now, fatal).is_none() {
            let ends = entry.ended(now, ended, &[fatal]);
            told.extend(ends.into_iter().map(|end| (now + MS * 300, end)));
            ended += 1;
        }
    }
    assert!(ended <= 6, "{ended} servers ended");
}
