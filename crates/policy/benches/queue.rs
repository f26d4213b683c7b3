//! What one decision of the queue costs, and how it grows with the queue.
//!
//! A round is one offer, one review, one grant and its end, at a queue that
//! stays about as long as the first column says; 64 workspaces, three tiers.

use std::hint::black_box;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use hdrhistogram::Histogram;
use policy::queue::{Queue, QueuePolicy, QueueRequest, QueueSettings};

/// Rounds measured at each length.
const ROUNDS: u32 = 20_000;

/// Slots of the backend server.
const SLOTS: usize = 8;

/// Longest time that is told apart, in nanoseconds.
const LONGEST: u64 = 1_000_000_000;

fn main() {
    println!("microseconds a call, median and 99th percentile");
    println!(
        "{:>8} {:>16} {:>16} {:>16} {:>16}",
        "queued", "offer", "review", "next", "finish"
    );
    for queued in [10, 100, 1_000, 10_000] {
        let times = measure(queued);
        let shown = times.map(|t| shown(&t));
        println!(
            "{queued:>8} {:>16} {:>16} {:>16} {:>16}",
            shown[0], shown[1], shown[2], shown[3]
        );
    }
}

/// Times of an offer, a review, a grant and an end.
fn measure(queued: u32) -> [Histogram<u64>; 4] {
    // Time passes here by hand, so that the queue stays as long as it is.
    let mut now = Instant::now();
    let rules = QueueSettings {
        policy: QueuePolicy::Full,
        limit: usize::MAX,
        ..QueueSettings::default()
    };
    let mut queue = Queue::new(rules, SLOTS, now);
    learn(&mut queue, &mut now);
    let mut ticket = 0;
    while queue.waiting() < queued as usize {
        ticket += 1;
        queue.offer(now, ask(ticket, now));
    }

    let mut times = [0; 4].map(|_| histogram());
    for _ in 0..ROUNDS {
        ticket += 1;
        now += Duration::from_micros(20);
        let ask = ask(ticket, now);
        timed(&mut times[0], || black_box(queue.offer(now, ask)));
        timed(&mut times[1], || black_box(queue.review(now)));
        let Some(granted) = timed(&mut times[2], || black_box(queue.grant_next(now))) else {
            continue;
        };
        queue.start(now, granted.ticket);
        queue.record_piece(now, granted.ticket, 1);
        timed(&mut times[3], || queue.finish(now, granted.ticket, true));
    }
    times
}

/// Has the queue see some service, so that it estimates.
fn learn(queue: &mut Queue, now: &mut Instant) {
    for ticket in 0..300 {
        queue.offer(*now, ask(u32::MAX - ticket, *now));
        let Some(granted) = queue.grant_next(*now) else {
            continue;
        };
        queue.start(*now, granted.ticket);
        *now += Duration::from_millis(5);
        queue.record_piece(*now, granted.ticket, 1);
        *now += Duration::from_millis(5);
        queue.finish(*now, granted.ticket, true);
    }
}

fn ask(ticket: u32, now: Instant) -> QueueRequest {
    // Spread without order over workspaces, tiers and deadlines.
    let mixed = ticket.wrapping_mul(2_654_435_761);
    let target = Duration::from_secs(600) + Duration::from_micros(u64::from(mixed >> 8));
    QueueRequest {
        ticket: RequestId(u128::from(ticket)),
        class: Rc::from(format!("class-{}", mixed % 3)),
        workspace: Rc::from(format!("workspace-{}", (mixed >> 4) % 64)),
        weight: 1 + (mixed >> 4) % 4,
        tier: Tier((mixed % 3) as u8),
        first_deadline: now + target,
        answer_deadline: now + target * 2,
        prompt_tokens: 50 + mixed % 1000,
        max_tokens: 1000,
        repeatable: true,
        preemptions: 0,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are constants")
}

fn timed<T>(times: &mut Histogram<u64>, call: impl FnOnce() -> T) -> T {
    let began = Instant::now();
    let result = call();
    let ns = u64::try_from(began.elapsed().as_nanos()).unwrap_or(LONGEST);
    times.saturating_record(ns.max(1));
    result
}

fn shown(times: &Histogram<u64>) -> String {
    let us = |q| times.value_at_quantile(q) as f64 / 1000.0;
    format!("{:.2} / {:.2}", us(0.5), us(0.99))
}
