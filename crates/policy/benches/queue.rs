//! Measures the cost of the queue's operations and how it grows with the
//! queue's length.
//!
//! A round is one offer, one review, one grant and its end, at a queue of
//! about the length in the first column, with 64 workspaces and three tiers.

use std::hint::black_box;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use hdrhistogram::Histogram;
use policy::queue::{Queue, QueuePolicy, QueueRequest, QueueSettings};

/// Number of rounds at each length.
const ROUNDS: u32 = 20_000;

/// Number of slots of the backend server.
const SLOTS: usize = 8;

/// Largest time recorded, in nanoseconds.
const MAX_NS: u64 = 1_000_000_000;

fn main() {
    println!("microseconds a call, median and 99th percentile");
    println!(
        "{:>8} {:>16} {:>16} {:>16} {:>16}",
        "queued", "offer", "review", "next", "finish"
    );
    for queued in [10, 100, 1_000, 10_000] {
        let times = measure(queued);
        let shown = times.map(|t| format_times(&t));
        println!(
            "{queued:>8} {:>16} {:>16} {:>16} {:>16}",
            shown[0], shown[1], shown[2], shown[3]
        );
    }
}

/// Durations of offers, reviews, grants and ends, in nanoseconds.
fn measure(queued: u32) -> [Histogram<u64>; 4] {
    // The clock is simulated, so that no request expires and the queue keeps
    // its length.
    let mut now = Instant::now();
    let settings = QueueSettings {
        policy: QueuePolicy::Full,
        limit: usize::MAX,
        ..QueueSettings::default()
    };
    let mut queue = Queue::new(settings, SLOTS, now);
    warm_up(&mut queue, &mut now);
    let mut ticket = 0;
    while queue.waiting() < queued as usize {
        ticket += 1;
        queue.offer(now, request(ticket, now));
    }

    let mut times = [0; 4].map(|_| histogram());
    for _ in 0..ROUNDS {
        ticket += 1;
        now += Duration::from_micros(20);
        let request = request(ticket, now);
        timed(&mut times[0], || black_box(queue.offer(now, request)));
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

/// Runs some requests, so that the queue has estimates.
fn warm_up(queue: &mut Queue, now: &mut Instant) {
    for ticket in 0..300 {
        queue.offer(*now, request(u32::MAX - ticket, *now));
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

fn request(ticket: u32, now: Instant) -> QueueRequest {
    // Spread pseudo-randomly over workspaces, tiers and deadlines.
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
    Histogram::new_with_bounds(1, MAX_NS, 3).expect("the constant histogram bounds are valid")
}

fn timed<T>(times: &mut Histogram<u64>, call: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = call();
    let ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(MAX_NS);
    times.saturating_record(ns.max(1));
    result
}

fn format_times(times: &Histogram<u64>) -> String {
    let us = |q| times.value_at_quantile(q) as f64 / 1000.0;
    format!("{:.2} / {:.2}", us(0.5), us(0.99))
}
