//! Tests of the queue's scheduling, one case each.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;
use policy::queue::{Admission, Queue, QueuePolicy, QueueRequest, QueueSettings, Rejection};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn request(ticket: u128, tier: u8, workspace: &str, due: Instant) -> QueueRequest {
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

fn settings(policy: QueuePolicy) -> QueueSettings {
    QueueSettings {
        policy,
        limit: 4,
        guaranteed: 0.0,
        ..QueueSettings::default()
    }
}

/// Grants a slot and runs the request for `took`.
fn run_next(queue: &mut Queue, now: &mut Instant, took: Duration) -> Option<u128> {
    let granted = queue.grant_next(*now)?;
    queue.start(*now, granted.ticket);
    *now += took / 2;
    queue.record_piece(*now, granted.ticket, 1);
    *now += took / 2;
    queue.finish(*now, granted.ticket, true);
    Some(granted.ticket.0)
}

fn evicted_for(reason: Refusal, evicted: &[(RequestId, Rejection)]) -> Vec<u128> {
    let of = evicted.iter().filter(|(_, v)| v.reason == reason);
    of.map(|(ticket, _)| ticket.0).collect()
}

#[rstest]
#[case::tiers_before_deadlines(QueuePolicy::Full, &[3, 1, 2])]
#[case::fifo_by_arrival(QueuePolicy::Fifo, &[1, 2, 3])]
fn grant_order(#[case] policy: QueuePolicy, #[case] order: &[u128]) {
    let mut now = Instant::now();
    let mut queue = Queue::new(settings(policy), 1, now);
    queue.offer(now, request(1, 1, "a", now + 500 * MS));
    queue.offer(now, request(2, 1, "a", now + 900 * MS));
    queue.offer(now, request(3, 0, "a", now + 950 * MS));

    let seen: Vec<_> = (0..3)
        .map_while(|_| run_next(&mut queue, &mut now, MS))
        .collect();
    assert_eq!(seen, order);
}

// A request arrives at a full queue. The one with the latest deadline in the
// lowest tier is shed, whether it is the new one or a waiting one; requests of
// higher tiers are not affected.
#[rstest]
#[case::newcomer_higher(0, 100, Admission::Queued, &[4])]
#[case::newcomer_same_tier_earlier(2, 100, Admission::Queued, &[4])]
#[case::newcomer_lowest(3, 100, shed(), &[])]
#[case::newcomer_same_tier_latest(2, 900, shed(), &[])]
fn offer_full(
    #[case] tier: u8,
    #[case] due: u32,
    #[case] offered: Admission,
    #[case] evicted: &[u128],
) {
    let now = Instant::now();
    let mut queue = Queue::new(settings(QueuePolicy::Full), 1, now);
    for (ticket, tier, due) in [(1, 0, 800), (2, 1, 850), (3, 2, 300), (4, 2, 700)] {
        queue.offer(now, request(ticket, tier, "a", now + due * MS));
    }

    let seen = queue.offer(now, request(9, tier, "b", now + due * MS));
    assert_eq!(seen, offered);
    assert_eq!(evicted_for(Refusal::Shed, &queue.review(now)), evicted);
    assert_eq!(queue.waiting(), 4);
}

fn shed() -> Admission {
    Admission::Refused(Rejection {
        reason: Refusal::Shed,
        retry_after: Duration::from_secs(1),
    })
}

// A workspace with a long queue must not starve one that arrives later with a
// few requests and later deadlines: both get their fair share of starts, and
// twice the weight gives twice the starts.
#[rstest]
#[case::equal(1, 5)]
#[case::double_weight(2, 6)]
fn grant_fair_share(#[case] weight: u32, #[case] expected_small: usize) {
    let mut now = Instant::now();
    let settings = QueueSettings {
        limit: 1000,
        ..settings(QueuePolicy::NoAdmission)
    };
    let mut queue = Queue::new(settings, 1, now);
    for ticket in 0..100 {
        queue.offer(
            now,
            request(ticket, 1, "large", now + Duration::from_secs(10)),
        );
    }
    for ticket in 100..120 {
        let mut small = request(ticket, 1, "small", now + Duration::from_secs(20));
        small.weight = weight;
        queue.offer(now, small);
    }

    let seen = (0..10).map_while(|_| run_next(&mut queue, &mut now, MS));
    let small = seen.filter(|t| *t >= 100).count();
    assert!(small.abs_diff(expected_small) <= 1, "{small} of 10");
}

// A constant backlog of higher-tier requests must not starve the lower
// classes: every twentieth start goes to a lower class, alternating between
// them and never two in a row.
#[test]
fn grant_guaranteed_share() {
    let mut now = Instant::now();
    let settings = QueueSettings {
        limit: 10_000,
        guaranteed: 0.05,
        ..settings(QueuePolicy::NoAdmission)
    };
    let mut queue = Queue::new(settings, 1, now);
    let far = now + Duration::from_secs(3600);
    for ticket in 0..1000 {
        queue.offer(now, request(ticket, 0, "a", far));
    }
    for ticket in 1000..1020 {
        queue.offer(now, request(ticket, 1, "a", far));
        queue.offer(now, request(ticket + 1000, 2, "a", far));
    }

    let starts: Vec<_> = (0..400)
        .map_while(|_| run_next(&mut queue, &mut now, MS))
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

/// A queue with one slot that has measured a service time of 100 ms.
fn measured_queue(now: &mut Instant) -> Queue {
    let settings = QueueSettings {
        limit: 1000,
        ..settings(QueuePolicy::Full)
    };
    let mut queue = Queue::new(settings, 1, *now);
    for ticket in 10_000..10_010 {
        queue.offer(*now, request(ticket, 1, "a", *now + Duration::from_secs(1)));
        run_next(&mut queue, now, 100 * MS);
    }
    queue
}

// Ten requests arrive at a server that serves one in 100 ms; about four can
// meet their target. The others must be refused on arrival with a retry delay,
// and every accepted one must be served in time.
#[test]
fn offer_unreachable() {
    let mut now = Instant::now();
    let mut queue = measured_queue(&mut now);
    let due = now + 500 * MS;
    let offers: Vec<_> = (0..10)
        .map(|ticket| queue.offer(now, request(ticket, 1, "a", due)))
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
        served += usize::from(run_next(&mut queue, &mut now, 100 * MS).is_some());
        assert_eq!(queue.review(now), []);
    }
    assert_eq!(served, accepted);
}

// Without measurements requests are accepted, and each is evicted as expired
// once its deadline passes.
#[test]
fn offer_without_measurements() {
    let now = Instant::now();
    let settings = QueueSettings {
        limit: 1000,
        ..settings(QueuePolicy::Full)
    };
    let mut queue = Queue::new(settings, 1, now);
    for ticket in 0..20 {
        let offered = queue.offer(now, request(ticket, 1, "a", now + 100 * MS));
        assert_eq!(offered, Admission::Queued);
    }
    assert_eq!(queue.review(now + 99 * MS), []);
    let evicted = queue.review(now + 100 * MS);
    assert_eq!(evicted_for(Refusal::Expired, &evicted).len(), 20);
}

// Requests wait for a server that becomes three times as slow. Those that can
// no longer be on time must be evicted well before their deadline, so that
// their callers can go elsewhere.
#[test]
fn review_slowdown() {
    let mut now = Instant::now();
    let mut queue = measured_queue(&mut now);
    let due = now + 1000 * MS;
    for ticket in 0..6 {
        assert_eq!(
            queue.offer(now, request(ticket, 1, "a", due + 50 * MS * ticket as u32)),
            Admission::Queued
        );
    }

    let granted = queue.grant_next(now).expect("a slot is free");
    queue.start(now, granted.ticket);
    let mut evicted = Vec::new();
    while now < due - 300 * MS {
        now += 10 * MS;
        evicted.extend(queue.review(now));
    }
    let unreachable = evicted_for(Refusal::TargetUnreachable, &evicted);
    assert!(!unreachable.is_empty());
    assert_eq!(unreachable.len(), evicted.len());
    // The first in the queue may still be on time.
    assert!(queue.waiting() > 0);
}

// A prompt of 20,000 tokens arrives where 100 tokens take 50 ms to the first
// piece. It is refused, and a short prompt at the same time is accepted.
#[test]
fn offer_long_prompt() {
    let mut now = Instant::now();
    let settings = settings(QueuePolicy::Full);
    let mut queue = Queue::new(settings, 1, now);
    for ticket in 0..40 {
        let mut short = request(ticket, 1, "a", now + Duration::from_secs(9));
        short.prompt_tokens = 100 + 10 * ticket as u32;
        let first = MS / 2 * short.prompt_tokens;
        queue.offer(now, short);
        run_next(&mut queue, &mut now, first * 2);
    }

    let mut long = request(1000, 1, "a", now + 500 * MS);
    long.prompt_tokens = 20_000;
    assert!(matches!(queue.offer(now, long), Admission::Refused(_)));
    let short = request(1001, 1, "a", now + 500 * MS);
    assert_eq!(queue.offer(now, short), Admission::Queued);
}

// The top tier recently used two slots at a time, and a lower-tier run takes a
// second. Lower tiers must then leave two slots free, whether or not the top
// tier uses them, until it has sent no request for 10 s.
#[test]
fn grant_headroom() {
    let mut now = Instant::now();
    let settings = QueueSettings {
        limit: 1000,
        ..settings(QueuePolicy::Full)
    };
    let mut queue = Queue::new(settings, 4, now);
    for ticket in 0..10 {
        queue.offer(now, request(ticket, 1, "a", now + Duration::from_secs(9)));
        run_next(&mut queue, &mut now, Duration::from_secs(1));
    }
    for round in 0..100 {
        let tops = [100 + 2 * round, 101 + 2 * round];
        for ticket in tops {
            queue.offer(now, request(ticket, 0, "a", now + 100 * MS));
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
        queue.offer(now, request(ticket, 1, "a", now + Duration::from_secs(60)));
    }
    let granted = |queue: &mut Queue, now| std::iter::from_fn(|| queue.grant_next(now)).count();
    assert_eq!(granted(&mut queue, now), 2);
    queue.offer(now, request(2000, 0, "a", now + 100 * MS));
    assert_eq!(
        granted(&mut queue, now),
        1,
        "the slot reserved for the top tier"
    );
    assert_eq!(queue.reserved_slots(now), 1);

    now += Duration::from_secs(10);
    assert_eq!(granted(&mut queue, now), 1);
}

// All slots run lower-tier requests when a top-tier request arrives with
// little time left. The run with the fewest pieces in the lowest tier is
// preempted, but never one that is not repeatable, was preempted before or has
// delivered pieces.
#[rstest]
#[case::fewest_pieces(&[(1, 5), (2, 9), (2, 3)], None, Some(2))]
#[case::already_delivered(&[(1, 5), (2, 9), (2, 3)], Some(2), Some(1))]
#[case::own_tier(&[(0, 5), (0, 9), (0, 3)], None, None)]
fn preempt_victim(
    #[case] runs: &[(u8, u32)],
    #[case] delivered: Option<u128>,
    #[case] victim: Option<u128>,
) {
    let mut now = Instant::now();
    let mut queue = Queue::new(settings(QueuePolicy::Full), runs.len(), now);
    for (ticket, (tier, pieces)) in (0..).zip(runs) {
        queue.offer(
            now,
            request(ticket, *tier, "a", now + Duration::from_secs(9)),
        );
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

    queue.offer(now, request(99, 0, "a", now + 50 * MS));
    assert_eq!(
        queue.preempt(now),
        None,
        "there is still time before the latest start"
    );
    // Without measured service times only the minimum preemption lead counts.
    now += 30 * MS;
    let stopped = queue.preempt(now).map(|t| t.0);
    assert_eq!(stopped, victim);
    assert_eq!(
        queue.preempt(now),
        None,
        "only one run is preempted at a time"
    );
}

#[rstest]
#[case::not_repeatable(false, 0)]
#[case::preempted_before(true, 1)]
fn preempt_ineligible(#[case] repeatable: bool, #[case] preempted: u32) {
    let now = Instant::now();
    let mut queue = Queue::new(settings(QueuePolicy::Full), 1, now);
    let mut lower = request(1, 1, "a", now + Duration::from_secs(9));
    (lower.repeatable, lower.preemptions) = (repeatable, preempted);
    queue.offer(now, lower);
    let granted = queue.grant_next(now).expect("a slot is free");
    queue.start(now, granted.ticket);
    queue.offer(now, request(2, 0, "a", now + MS));
    assert_eq!(queue.preempt(now + MS), None);
}
