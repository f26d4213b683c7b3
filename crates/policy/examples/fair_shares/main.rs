//! Prints the figures of fair shares in docs/design/fair-shares.md.
//!
//! `cargo run --release -p policy --example fair_shares`

mod replay;

use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantRequest};
use policy::shares::ShareAccount;
use replay::{Mode, Outcome, Scenario, alone, run};

/// Waiting calls when the time of a decision is measured.
const WAITING: u32 = 10_000;

/// Decisions that are measured.
const DECISIONS: u32 = 2_000;

fn main() {
    let scenario = Scenario::default();
    let one_class = |questions: f64| Scenario {
        questions,
        flood_questions: questions,
        ..scenario
    };
    let eight = |scenario: Scenario, homes: usize| Scenario {
        engines: 8,
        homes,
        ..scenario
    };
    let tail = Scenario {
        workspaces: 46_000,
        ..eight(one_class(1.0), 8)
    };
    let scenarios = [
        ("questions", one_class(1.0)),
        ("long prompts", one_class(0.0)),
        ("both, flood of both", scenario),
        (
            "both, flood of long prompts",
            Scenario {
                flood_questions: 0.0,
                ..scenario
            },
        ),
        ("questions, 8 engines, 1 home", eight(one_class(1.0), 1)),
        ("questions, 8 engines, 8 homes", eight(one_class(1.0), 8)),
        ("questions, 46,000 workspaces", tail),
    ];
    for (name, scenario) in scenarios {
        for flood in [0, 2] {
            compare(
                name,
                &Scenario {
                    flood: (flood, 12.0),
                    ..scenario
                },
            );
        }
    }
    for workspaces in [1, 24, 1_000] {
        let time = decision_time(workspaces);
        println!("decision at {WAITING} waiting calls of {workspaces} workspaces: {time:?}");
    }
}

/// Prints what workspaces get in each mode.
fn compare(name: &str, scenario: &Scenario) {
    let flood = scenario.flood.0;
    let by_itself = run(&alone(scenario), Mode::Off).calm_part(flood);
    println!("{name}, workspace {flood} at 12 times its rate: calm alone {by_itself:.3}");
    for mode in [Mode::Off, Mode::Sidecars, Mode::Service] {
        let outcome = run(scenario, mode);
        let calm = outcome.calm_part(flood);
        println!(
            "  {:9} calm {calm:.3} ({:.3} of alone), Jain {:.3}, of fair parts {:.3}, \
             cost served {:.0}, tokens read {:.0}, late {}, refused {}, displaced {}",
            format!("{mode:?}"),
            calm / by_itself,
            Outcome::jain(&outcome.parts()),
            Outcome::jain(&outcome.fair_parts()),
            outcome.total,
            outcome.read,
            outcome.late,
            outcome.refused,
            outcome.displaced
        );
    }
}

/// Mean time of a decision with [`WAITING`] calls of `workspaces` in the queue.
fn decision_time(workspaces: u32) -> Duration {
    let mut grants = GrantController::with_shares(ShareAccount::default());
    let start = Instant::now();
    let call = |number: u32| GrantRequest {
        id: CallId {
            incarnation: 1,
            number,
        },
        parts: vec![(u64::from(number), 500 + number % 3_000)],
        ttft_limit: Duration::from_secs(1),
        time_left: Duration::from_secs(60),
        max_gap: None,
        slots: 96,
        rank: 4 + (number % 3) as u8,
        is_home: true,
        forced: true,
        fetchable: 0,
        copy_time: None,
        workspace: Some(u64::from(number % workspaces)),
        output_tokens: 25,
    };
    let mut number = 0;
    while grants.counts().0 < WAITING as usize {
        grants.request(
            start + Duration::from_micros(u64::from(number) * 100),
            call(number),
        );
        number += 1;
    }
    let now = start + Duration::from_secs(1);
    let mut taken = Duration::ZERO;
    for _ in 0..DECISIONS {
        let request = call(number);
        let id = request.id;
        let begin = Instant::now();
        grants.request(now, request);
        taken += begin.elapsed();
        grants.call_ended(now, id, Duration::ZERO);
        number += 1;
    }
    taken / DECISIONS
}
