//! The queue's promises, one case each.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;
use policy::queue::{Admission, Queue, QueuePolicy, QueueRequest, QueueSettings, Rejection};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn ask(ticket: u128, tier: u8, workspace: &str, due: Instant) -> QueueRequest {
    QueueRequest {
        ticket: RequestId(ticket),
        class: Rc::from(format!("class-{tier}")),
        workspace: Rc::from(workspace),
        weight: 1,
        tier: Tier(tier),
        first_deadline: due,
        answer_deadline: due + Duration::from_secs(20),
        prompt_tokens: 100,
        max_tokens: u32::MAX,
        repeatable: true,
        preemptions: 0,
    }
}

fn rules(policy: QueuePolicy) -> QueueSettings {
    QueueSettings {
        policy,
        limit: 4,
        guaranteed: 0.0,
        ..QueueSettings::default()
    }
}

/// Grants a slot and runs the request in it for `took`.
fn run(queue: &mut Queue, now: &mut Instant, took: Duration) -> Option<u128> {
    let granted = queue.grant_next(*now)?;
    queue.start(*now, granted.ticket);
    *now += took / 2;
    queue.record_piece(*now, granted.ticket, 1);
    *now += took / 2;
    queue.finish(*now, granted.ticket, true);
    Some(granted.ticket.0)
}

fn refused(reason: Refusal, given_up: &[(RequestId, Rejection)]) -> Vec<u128> {
    let of = given_up.iter().filter(|(_, v)| v.reason == reason);
    of.map(|(ticket, _)| ticket.0).collect()
}

#[rstest]
#[case::tiers_before_deadlines(QueuePolicy::Full, &[3, 1, 2])]
#[case::arrival_only(QueuePolicy::Fifo, &[1, 2, 3])]
fn next_order(#[case] policy: QueuePolicy, #[case] order: &[u128]) {
    let mut now = Instant::now();
    let mut queue = Queue::new(rules(policy), 1, now);
    queue.offer(now, ask(1, 1, "a", now + 500 * MS));
    queue.offer(now, ask(2, 1, "a", now + 900 * MS));
    queue.offer(now, ask(3, 0, "a", now + 950 * MS));

    let seen: Vec<_> = (0..3)
        .map_while(|_| run(&mut queue, &mut now, MS))
        .collect();
    assert_eq!(seen, order);
}

// The queue is full and one more request comes. The caller of the lowest
// tier's latest deadline is told "shed" and "not run", be it the newcomer or
// one that waits; callers of higher tiers notice nothing.
#[rstest]
#[case::newcomer_higher(0, 100, Admission::Queued, &[4])]
#[case::newcomer_same_tier_earlier(2, 100, Admission::Queued, &[4])]
#[case::newcomer_lowest(3, 100, shed(), &[])]
#[case::newcomer_same_tier_latest(2, 900, shed(), &[])]
fn offer_full(
    #[case] tier: u8,
    #[case] due: u32,
    #[case] offered: Admission,
    #[case] out: &[u128],
) {
    let now = Instant::now();
    let mut queue = Queue::new(rules(QueuePolicy::Full), 1, now);
    for (ticket, tier, due) in [(1, 0, 800), (2, 1, 850), (3, 2, 300), (4, 2, 700)] {
        queue.offer(now, ask(ticket, tier, "a", now + due * MS));
    }

    let seen = queue.offer(now, ask(9, tier, "b", now + due * MS));
    assert_eq!(seen, offered);
    assert_eq!(refused(Refusal::Shed, &queue.review(now)), out);
    assert_eq!(queue.waiting(), 4);
}

fn shed() -> Admission {
    Admission::Refused(Rejection {
        reason: Refusal::Shed,
        retry_after: Duration::from_secs(1),
    })
}

// One workspace has a long queue when another comes with a few requests and
// later deadlines. Its callers wait for their share only and not for the
// whole queue before them; with twice the weight they get twice the starts.
#[rstest]
#[case::equal(1, 5)]
#[case::double_weight(2, 6)]
fn next_fair(#[case] weight: u32, #[case] small_of_ten: usize) {
    let mut now = Instant::now();
    let rules = QueueSettings {
        limit: 1000,
        ..rules(QueuePolicy::NoAdmission)
    };
    let mut queue = Queue::new(rules, 1, now);
    for ticket in 0..100 {
        queue.offer(now, ask(ticket, 1, "large", now + Duration::from_secs(10)));
    }
    for ticket in 100..120 {
        let mut ask = ask(ticket, 1, "small", now + Duration::from_secs(20));
        ask.weight = weight;
        queue.offer(now, ask);
    }

    let seen = (0..10).map_while(|_| run(&mut queue, &mut now, MS));
    let small = seen.filter(|t| *t >= 100).count();
    assert!(small.abs_diff(small_of_ten) <= 1, "{small} of 10");
}

// Higher-tier callers come without end. A lower class's caller still gets its
// answer: every twentieth start is its own, and never two in a row.
#[test]
fn next_guaranteed_share() {
    let mut now = Instant::now();
    let rules = QueueSettings {
        limit: 10_000,
        guaranteed: 0.05,
        ..rules(QueuePolicy::NoAdmission)
    };
    let mut queue = Queue::new(rules, 1, now);
    let far = now + Duration::from_secs(3600);
    for ticket in 0..1000 {
        queue.offer(now, ask(ticket, 0, "a", far));
    }
    for ticket in 1000..1020 {
        queue.offer(now, ask(ticket, 1, "a", far));
        queue.offer(now, ask(ticket + 1000, 2, "a", far));
    }

    let starts: Vec<_> = (0..400)
        .map_while(|_| run(&mut queue, &mut now, MS))
        .collect();
    let count = |range: std::ops::Range<u128>| starts.iter().filter(|t| range.contains(t)).count();
    assert!(
        (9..=10).contains(&count(1000..2000)),
        "{}",
        count(1000..2000)
    );
    assert!(
        (9..=10).contains(&count(2000..3000)),
        "{}",
        count(2000..3000)
    );
    assert!(starts.windows(2).all(|w| w[0] < 1000 || w[1] < 1000));
}

/// A queue with one slot that has learned that a run takes 100 ms.
fn learned(now: &mut Instant) -> Queue {
    let rules = QueueSettings {
        limit: 1000,
        ..rules(QueuePolicy::Full)
    };
    let mut queue = Queue::new(rules, 1, *now);
    for ticket in 10_000..10_010 {
        queue.offer(*now, ask(ticket, 1, "a", *now + Duration::from_secs(1)));
        run(&mut queue, now, 100 * MS);
    }
    queue
}

// Ten callers ask for a server that does one in 100 ms; their targets allow
// for about four. The rest are refused as they come and told when to return,
// and none of those accepted waits in vain.
#[test]
fn offer_unreachable() {
    let mut now = Instant::now();
    let mut queue = learned(&mut now);
    let due = now + 500 * MS;
    let offers: Vec<_> = (0..10)
        .map(|ticket| queue.offer(now, ask(ticket, 1, "a", due)))
        .collect();

    let accepted = offers.iter().filter(|o| **o == Admission::Queued).count();
    assert!((4..=5).contains(&accepted), "{accepted}");
    for offer in &offers {
        let Admission::Refused(verdict) = offer else {
            continue;
        };
        assert_eq!(verdict.reason, Refusal::TargetUnreachable);
        assert!(verdict.retry_after >= 50 * MS && verdict.retry_after < Duration::from_secs(5));
    }

    let mut served = 0;
    while queue.waiting() > 0 {
        served += usize::from(run(&mut queue, &mut now, 100 * MS).is_some());
        assert_eq!(queue.review(now), []);
    }
    assert_eq!(served, accepted);
}

// The server has answered nothing yet, so nothing is known. Callers are
// accepted, and those whose time passes are told so then.
#[test]
fn offer_cold() {
    let now = Instant::now();
    let rules = QueueSettings {
        limit: 1000,
        ..rules(QueuePolicy::Full)
    };
    let mut queue = Queue::new(rules, 1, now);
    for ticket in 0..20 {
        let offered = queue.offer(now, ask(ticket, 1, "a", now + 100 * MS));
        assert_eq!(offered, Admission::Queued);
    }
    assert_eq!(queue.review(now + 99 * MS), []);
    let given_up = queue.review(now + 100 * MS);
    assert_eq!(refused(Refusal::Expired, &given_up).len(), 20);
}

// Callers wait for a server that then takes three times as long as it did.
// Those who can no longer be served in time hear it long before their target
// has passed, so that they can go elsewhere.
#[test]
fn review_drift() {
    let mut now = Instant::now();
    let mut queue = learned(&mut now);
    let due = now + 1000 * MS;
    for ticket in 0..6 {
        assert_eq!(
            queue.offer(now, ask(ticket, 1, "a", due + 50 * MS * ticket as u32)),
            Admission::Queued
        );
    }

    let granted = queue.grant_next(now).expect("a slot is free");
    queue.start(now, granted.ticket);
    let mut told = Vec::new();
    while now < due - 300 * MS {
        now += 10 * MS;
        told.extend(queue.review(now));
    }
    let reached = refused(Refusal::TargetUnreachable, &told);
    assert!(!reached.is_empty());
    assert_eq!(reached.len(), told.len());
    // Those that stand first may still make it.
    assert!(queue.waiting() > 0);
}

// A prompt of 20,000 tokens comes where 100 tokens take 50 ms to the first
// piece. It alone is refused; a short one at the same time is accepted.
#[test]
fn offer_long_prompt() {
    let mut now = Instant::now();
    let rules = rules(QueuePolicy::Full);
    let mut queue = Queue::new(rules, 1, now);
    for ticket in 0..40 {
        let mut short = ask(ticket, 1, "a", now + Duration::from_secs(9));
        short.prompt_tokens = 100 + 10 * ticket as u32;
        let first = MS / 2 * short.prompt_tokens;
        queue.offer(now, short);
        run(&mut queue, &mut now, first * 2);
    }

    let mut long = ask(1000, 1, "a", now + 500 * MS);
    long.prompt_tokens = 20_000;
    assert!(matches!(queue.offer(now, long), Admission::Refused(_)));
    let short = ask(1001, 1, "a", now + 500 * MS);
    assert_eq!(queue.offer(now, short), Admission::Queued);
}

// Callers of the top tier have lately used two slots at a time, and a slot in
// lower hands takes a second to fall free. Lower tiers then leave two free,
// whether or not the top tier uses them now, until it has not come for long.
#[test]
fn next_headroom() {
    let mut now = Instant::now();
    let rules = QueueSettings {
        limit: 1000,
        ..rules(QueuePolicy::Full)
    };
    let mut queue = Queue::new(rules, 4, now);
    for ticket in 0..10 {
        queue.offer(now, ask(ticket, 1, "a", now + Duration::from_secs(9)));
        run(&mut queue, &mut now, Duration::from_secs(1));
    }
    for round in 0..100 {
        let tops = [100 + 2 * round, 101 + 2 * round];
        for ticket in tops {
            queue.offer(now, ask(ticket, 0, "a", now + 100 * MS));
            let granted = queue.grant_next(now).expect("a slot is free");
            queue.start(now, granted.ticket);
        }
        now += 10 * MS;
        queue.review(now);
        for ticket in tops {
            queue.finish(now, RequestId(ticket), false);
        }
    }

    assert_eq!(queue.reserved_slots(now), 2);
    for ticket in 1000..1010 {
        queue.offer(now, ask(ticket, 1, "a", now + Duration::from_secs(60)));
    }
    let granted = |queue: &mut Queue, now| std::iter::from_fn(|| queue.grant_next(now)).count();
    assert_eq!(granted(&mut queue, now), 2);
    queue.offer(now, ask(2000, 0, "a", now + 100 * MS));
    assert_eq!(granted(&mut queue, now), 1, "the top tier's own");
    assert_eq!(queue.reserved_slots(now), 1);

    now += Duration::from_secs(10);
    assert_eq!(granted(&mut queue, now), 1);
}

// Every slot runs lower-tier work when a top-tier request comes whose time is
// short. The run of the lowest tier with the least done is stopped, but never
// one that may not repeat, was stopped before or was seen by its caller.
#[rstest]
#[case::least_done(&[(1, 5), (2, 9), (2, 3)], None, Some(2))]
#[case::seen_by_caller(&[(1, 5), (2, 9), (2, 3)], Some(2), Some(1))]
#[case::own_tier(&[(0, 5), (0, 9), (0, 3)], None, None)]
fn preempt_victim(
    #[case] runs: &[(u8, u32)],
    #[case] delivered: Option<u128>,
    #[case] victim: Option<u128>,
) {
    let mut now = Instant::now();
    let mut queue = Queue::new(rules(QueuePolicy::Full), runs.len(), now);
    for (ticket, (tier, pieces)) in (0..).zip(runs) {
        queue.offer(now, ask(ticket, *tier, "a", now + Duration::from_secs(9)));
        let granted = queue.grant_next(now).expect("a slot is free");
        queue.start(now, granted.ticket);
        for _ in 0..*pieces {
            now += MS;
            queue.record_piece(now, granted.ticket, 1);
        }
    }
    if let Some(ticket) = delivered {
        queue.mark_delivered(RequestId(ticket));
    }

    queue.offer(now, ask(99, 0, "a", now + 50 * MS));
    assert_eq!(queue.preempt(now), None, "its time is not short yet");
    // Nothing was seen of service times; what is left is the time to stop one.
    now += 30 * MS;
    let stopped = queue.preempt(now).map(|t| t.0);
    assert_eq!(stopped, victim);
    assert_eq!(queue.preempt(now), None, "one at a time");
}

#[rstest]
#[case::not_repeatable(false, 0)]
#[case::stopped_before(true, 1)]
fn preempt_spared(#[case] repeatable: bool, #[case] preempted: u32) {
    let now = Instant::now();
    let mut queue = Queue::new(rules(QueuePolicy::Full), 1, now);
    let mut lower = ask(1, 1, "a", now + Duration::from_secs(9));
    (lower.repeatable, lower.preemptions) = (repeatable, preempted);
    queue.offer(now, lower);
    let granted = queue.grant_next(now).expect("a slot is free");
    queue.start(now, granted.ticket);
    queue.offer(now, ask(2, 0, "a", now + MS));
    assert_eq!(queue.preempt(now + MS), None);
}
