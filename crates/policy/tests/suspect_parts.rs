//! Parts of prompts under which servers crash, and sound parts beside them.

use std::time::{Duration, Instant};

use policy::suspects::{
    CRASH_TTL, Crash, CrashRecord, CrashReport, CrashSuspects, Fingerprint, RecordKey, TrialTurn,
};
use proptest::prelude::*;
use rstest::rstest;

const FATAL: u64 = 0xfa7a1;
const FIRST: u64 = 0xaa;
const OTHER: u64 = 0xcc;

/// Time from sending a fatal call to the crash.
const RUN: Duration = ms(150);

/// An entry that may always make the trials.
const ALONE: TrialTurn = TrialTurn {
    entries: 1,
    index: 0,
};

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A call named `call` that had been at the server `incarnation` for [`RUN`] when that
/// crashed.
fn report(call: u64, incarnation: u64, parts: &[u64]) -> CrashReport {
    CrashReport {
        crash: Crash {
            fingerprint: fingerprint(call),
            incarnation,
        },
        age: Duration::ZERO,
        run: RUN,
        just_began: false,
        shared_parts: parts.to_vec(),
    }
}

fn fingerprint(call: u64) -> Fingerprint {
    Fingerprint::from_parts(&[&call.to_le_bytes()])
}

/// The suspects of an entry, and its time.
struct Entry {
    suspects: CrashSuspects,
    now: Instant,
    /// Number of servers that have crashed, which names calls too.
    crashed: u64,
}

impl Entry {
    fn new() -> Self {
        Self {
            suspects: CrashSuspects::default(),
            now: Instant::now(),
            crashed: 0,
        }
    }

    /// Lets a server crash that runs a call with each of these prompts, and time pass
    /// until another call may crash the next one.
    fn crash(&mut self, prompts: &[&[u64]]) {
        self.crash_together(1, prompts);
        self.now += RUN + ms(50);
    }

    /// Lets servers crash at the same time, each of which runs a call with each of these
    /// prompts.
    fn crash_together(&mut self, servers: u64, prompts: &[&[u64]]) {
        for _ in 0..servers {
            self.crashed += 1;
            let calls = (0..).zip(prompts);
            let call =
                |(n, parts): (u64, &&[u64])| report(self.crashed * 100 + n, self.crashed, parts);
            let calls = calls.map(call).collect();
            self.suspects.server_crashed(self.now, calls);
        }
    }

    fn refuses(&self, parts: &[u64]) -> bool {
        let left = self.suspects.refusal_left(self.now, fingerprint(0), parts);
        left.is_some()
    }

    fn record_sound(&mut self, parts: &[u64]) {
        self.suspects.record_sound_parts(self.now, parts);
    }
}

/// Guards against requests that share only a part being taken for unrelated ones.
#[test]
fn part_refused_after_three_crashes() {
    let mut entry = Entry::new();
    for n in 0..3 {
        assert!(!entry.refuses(&[FIRST, FATAL]));
        entry.crash(&[&[FIRST, 0xb0 + n, FATAL], &[FIRST, 0xd0 + n]]);
        entry.record_sound(&[FIRST]);
    }
    assert!(entry.refuses(&[FIRST, FATAL]));
    assert!(entry.refuses(&[FATAL]));
    assert!(!entry.refuses(&[FIRST]));
    assert!(!entry.refuses(&[FIRST, 0xb0]));
}

/// Guards against refusing all calls with a part because a rack, or all servers, crash at
/// the same time, also when entries see the crashes at slightly different times.
#[rstest]
#[case::once(1)]
#[case::twice(2)]
fn servers_lost_together_count_once(#[case] times: u64) {
    let mut entry = Entry::new();
    for _ in 0..times {
        for _ in 0..4 {
            entry.crash_together(5, &[&[FIRST, OTHER], &[FIRST, FATAL]]);
            entry.now += ms(20);
        }
        entry.now += ms(1000);
    }
    assert!(!entry.refuses(&[FIRST, OTHER]));
    assert!(!entry.refuses(&[FIRST, FATAL]));
}

/// Guards against counting calls that were sent to a server that had crashed before: they
/// fail at once and say nothing.
#[test]
fn calls_to_lost_servers_do_not_count() {
    let mut entry = Entry::new();
    for n in 1..=9 {
        let call = CrashReport {
            run: ms(5),
            ..report(n, n, &[FIRST])
        };
        entry.suspects.server_crashed(entry.now, vec![call]);
        entry.now += ms(50);
    }
    assert!(!entry.refuses(&[FIRST]));
}

/// Guards against refusing a part that servers answer, while others crash.
#[test]
fn answered_part_is_not_suspected() {
    let mut entry = Entry::new();
    for _ in 0..10 {
        entry.crash(&[&[FIRST, OTHER]]);
        entry.record_sound(&[FIRST]);
    }
    assert!(!entry.refuses(&[FIRST]));
    assert!(entry.refuses(&[FIRST, OTHER]));
    entry.record_sound(&[OTHER]);
    assert!(!entry.refuses(&[FIRST, OTHER]));
}

/// Guards against a part staying sound for good: a part may begin to crash servers. It takes
/// more crashes to accuse it than a part that no server ever answered.
#[test]
fn part_that_was_sound_is_refused() {
    let mut entry = Entry::new();
    entry.record_sound(&[FIRST, FATAL]);
    entry.now += ms(1000);
    (0..3).for_each(|_| entry.crash(&[&[FATAL]]));
    assert!(!entry.refuses(&[FATAL]));
    entry.crash(&[&[FATAL]]);
    assert!(entry.refuses(&[FATAL]));
}

/// Guards against accusing a part that has been answered before in place of the fatal one,
/// while engines crash so often that no call is answered any more.
#[test]
fn unknown_part_is_accused_before_known_one() {
    let mut entry = Entry::new();
    entry.record_sound(&[FIRST, OTHER]);
    entry.now += ms(1000);
    (0..3).for_each(|_| entry.crash(&[&[FIRST, OTHER]]));
    (0..3).for_each(|_| entry.crash(&[&[FIRST, FATAL], &[FIRST, OTHER]]));
    assert!(entry.refuses(&[FATAL]));
    assert!(!entry.refuses(&[FIRST, OTHER]));
}

/// Guards against refusing sound requests that share all but the fatal part with the
/// requests under which servers crash, before any of them was answered.
#[test]
fn companion_of_fatal_part_is_not_refused() {
    let mut entry = Entry::new();
    (0..3).for_each(|_| entry.crash(&[&[FIRST, OTHER, FATAL]]));
    assert!(entry.refuses(&[FIRST, OTHER, FATAL]));
    assert!(!entry.refuses(&[FIRST, OTHER]));
    // Requests without some of the suspected parts tell them apart.
    (0..2).for_each(|_| entry.crash(&[&[FATAL]]));
    assert!(entry.refuses(&[FATAL]));
    assert!(!entry.refuses(&[FIRST, OTHER]));
}

/// Guards against refusing sound calls that ran at the crashed servers too.
#[test]
fn bystanders_are_not_refused() {
    let mut entry = Entry::new();
    for _ in 0..4 {
        entry.crash(&[&[FIRST, FATAL], &[FIRST, OTHER], &[FIRST, 0xdd]]);
    }
    assert!(entry.refuses(&[FIRST, FATAL]) || entry.refuses(&[FIRST, OTHER]));
    entry.crash(&[&[FIRST, FATAL]]);
    entry.crash(&[&[FIRST, FATAL]]);
    assert!(entry.refuses(&[FIRST, FATAL]));
    for sound in [&[FIRST, OTHER][..], &[FIRST, 0xdd], &[FIRST]] {
        assert!(!entry.refuses(sound), "{sound:x?}");
    }
}

/// Guards against refusing a request that its caller repeats and that ran at three servers
/// that crashed under another one.
#[test]
fn repeated_bystander_is_not_refused() {
    let mut entry = Entry::new();
    for n in 1..=4 {
        let bystander = report(7, n, &[FIRST]);
        let calls = vec![bystander, report(100 + n, n, &[FATAL])];
        entry.suspects.server_crashed(entry.now, calls);
        entry.now += RUN + ms(50);
    }
    let left = |parts: &[u64]| {
        entry
            .suspects
            .refusal_left(entry.now, fingerprint(7), parts)
    };
    assert_eq!(left(&[FIRST]), None);
    assert!(left(&[FIRST, FATAL]).is_some());
}

/// Guards against accusing a part that more calls share when the report of one crash with
/// the fatal part is late.
#[test]
fn late_report_does_not_accuse_first_part() {
    let mut entry = Entry::new();
    (0..3).for_each(|_| entry.crash(&[&[FIRST, FATAL], &[FIRST, OTHER]]));
    entry.crash(&[&[FIRST, 0xdd]]);
    entry.crash(&[&[FIRST, FATAL]]);
    assert!(entry.refuses(&[FIRST, FATAL]));
    assert!(!entry.refuses(&[FIRST]));
}

/// Guards against a part being refused for good, and against trials of a fatal part that
/// crash one server after the other.
#[test]
fn three_trials_at_most() {
    let mut entry = Entry::new();
    (0..3).for_each(|_| entry.crash(&[&[FATAL]]));
    let mut trials = 0;
    for _ in 0..25 * 60 {
        entry.now += ms(1000);
        if entry.suspects.take_trial(entry.now, &[FATAL], ALONE) {
            trials += 1;
            entry.crash(&[&[FATAL]]);
        }
        assert!(entry.refuses(&[FATAL]));
    }
    assert_eq!(trials, 3);
    entry.now += CRASH_TTL;
    entry.suspects.expire(entry.now);
    assert!(!entry.refuses(&[FATAL]));
}

/// Guards against each of many entries making the trial.
#[test]
fn one_entry_makes_a_trial() {
    let entries = 987;
    let mut trials = [0; 3];
    for index in 0..entries {
        let mut entry = Entry::new();
        (0..3).for_each(|_| entry.crash(&[&[FATAL]]));
        for (made, delay) in trials.iter_mut().zip([5, 60, 600]) {
            entry.now += Duration::from_secs(delay);
            let turn = TrialTurn { entries, index };
            assert_eq!(
                entry.suspects.may_try(entry.now, &[FATAL], turn),
                entry.suspects.take_trial(entry.now, &[FATAL], turn)
            );
            *made += u32::from(!entry.suspects.take_trial(entry.now, &[FATAL], turn));
        }
    }
    assert_eq!(trials, [entries; 3]);
}

/// Guards against a trial that says nothing, since the request has another suspected part.
#[test]
fn no_trial_with_another_suspected_part() {
    let mut entry = Entry::new();
    (0..3).for_each(|_| entry.crash(&[&[FATAL]]));
    entry.crash(&[&[OTHER]]);
    entry.now += ms(10_000);
    assert!(!entry.suspects.may_try(entry.now, &[FATAL, OTHER], ALONE));
    assert!(entry.suspects.may_try(entry.now, &[FATAL], ALONE));
    assert!(!entry.suspects.may_try(entry.now, &[OTHER], ALONE));
}

/// Guards against an entry that seldom gets calls with a part suspecting it although
/// others see it answered all the time.
#[test]
fn sound_parts_are_told_to_other_entries() {
    let (mut seldom, mut often, mut told) = (Entry::new(), Entry::new(), 0);
    for n in 1..=8 {
        let call = report(n, n, &[FIRST]);
        seldom
            .suspects
            .server_crashed(seldom.now, vec![call.clone()]);
        often.suspects.add_crash(often.now, &call);
        for entry in [&mut seldom, &mut often] {
            entry.now += RUN + ms(50);
        }
        often.record_sound(&[FIRST]);
        told += u32::from(often.suspects.has_contested_parts());
        for (part, age) in often.suspects.take_contested_parts(often.now) {
            assert!(seldom.suspects.add_sound_part(seldom.now, part, age));
        }
        assert!(!seldom.refuses(&[FIRST]), "after {n} crashes");
    }
    assert_eq!(told, 3);
}

/// Guards against accusing a part that all fatal calls but one had by chance, in place of the
/// fatal one.
#[test]
fn part_of_most_fatal_calls_is_not_refused() {
    let mut entry = Entry::new();
    (0..3).for_each(|_| entry.crash(&[&[OTHER, FATAL]]));
    entry.crash(&[&[FATAL]]);
    assert!(entry.refuses(&[OTHER, FATAL]));
    assert!(!entry.refuses(&[OTHER]));
    entry.crash(&[&[FATAL]]);
    assert!(entry.refuses(&[FATAL]));
    assert!(!entry.refuses(&[OTHER]));
}

/// Guards against memory that grows with the number of parts.
#[test]
fn sound_parts_expire() {
    let mut entry = Entry::new();
    entry.suspects.add_sound_part(entry.now, FIRST, ms(0));
    assert_eq!(entry.suspects.sound_age(entry.now, FIRST), Some(ms(0)));
    entry.now += CRASH_TTL + ms(1);
    assert_eq!(entry.suspects.expire_sound_parts(entry.now), [FIRST]);
    assert_eq!(entry.suspects.sound_age(entry.now, FIRST), None);
}

#[rstest]
#[case::crash("000000000000000000000000000000ff-000000000000000c")]
#[case::part("sound-fa7a1")]
fn record_key_round_trip(#[case] text: &str) {
    let key: RecordKey = text.parse().expect("valid");
    assert_eq!(key.to_string(), text);
}

#[rstest]
#[case::without_call("1786043757772", 0, &[], false)]
#[case::without_parts("1786043757772 146 ", 146, &[], false)]
#[case::with_parts("1786043757772 146 aa,fa7a1", 146, &[FIRST, FATAL], false)]
#[case::began("1786043757772 146 aa began", 146, &[FIRST], true)]
fn crash_record_round_trip(
    #[case] text: &str,
    #[case] run_ms: u32,
    #[case] parts: &[u64],
    #[case] just_began: bool,
) {
    let record: CrashRecord = text.parse().expect("valid");
    assert_eq!(
        record,
        CrashRecord {
            seen_ms: 1_786_043_757_772,
            run_ms,
            just_began,
            shared_parts: parts.to_vec()
        }
    );
    assert_eq!(record.to_string(), text);
}

#[rstest]
#[case::empty("")]
#[case::no_number("x 1 aa")]
#[case::no_run("1 x aa")]
#[case::no_part("1 2 aa,xyz")]
#[case::no_mark("1 2 aa x")]
fn invalid_crash_records(#[case] text: &str) {
    assert!(text.parse::<CrashRecord>().is_err());
}

proptest! {
    /// Guards against entries that got the same reports in another order refusing other
    /// calls.
    #[test]
    fn order_of_reports_does_not_matter(
        crashes in prop::collection::vec((0u64..40, prop::collection::vec(0u64..5, 1..4)), 3..20),
        order in any::<prop::sample::Index>(),
    ) {
        let now = Instant::now();
        let reports: Vec<CrashReport> = (0u64..)
            .zip(&crashes)
            .map(|(n, (at, parts))| CrashReport {
                age: ms(10_000 - at * 100),
                ..report(n, n, parts)
            })
            .collect();
        let mut entries = [CrashSuspects::default(), CrashSuspects::default()];
        let from = order.index(reports.len());
        let rotated = reports[from..].iter().chain(&reports[..from]);
        reports.iter().for_each(|r| { entries[0].add_crash(now, r); });
        rotated.for_each(|r| { entries[1].add_crash(now, r); });
        let accused = |suspects: &CrashSuspects| {
            let mut parts: Vec<u64> = suspects.accused_parts().collect();
            parts.sort_unstable();
            parts
        };
        prop_assert_eq!(accused(&entries[0]), accused(&entries[1]));
    }
}
