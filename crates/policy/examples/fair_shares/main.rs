//! Prints the figures of fair shares in docs/design/fair-shares.md.
//!
//! `cargo run --release -p policy --example fair_shares`

mod replay;

use replay::{Outcome, Scenario, alone, run};

fn main() {
    for (engines, flood, calm_mix, flood_mix) in [
        (1, 0, 1.0, 1.0),
        (1, 2, 1.0, 1.0),
        (1, 0, 0.0, 0.0),
        (1, 2, 0.0, 0.0),
        (1, 0, 0.75, 0.0),
        (1, 0, 0.75, 0.75),
        (8, 0, 1.0, 1.0),
        (8, 2, 1.0, 1.0),
        (8, 0, 0.75, 0.0),
    ] {
        let scenario = Scenario {
            engines,
            flood: (flood, 12.0),
            questions: calm_mix,
            flood_questions: flood_mix,
            ..Scenario::default()
        };
        let calm = run(&alone(&scenario), false).calm_part(flood);
        for fair in [false, true] {
            let outcome = run(&scenario, fair);
            println!(
                "engines={engines} flood={flood} mix={calm_mix}/{flood_mix} fair={fair}: calm {:.3} of {calm:.3} alone, \
                 Jain {:.3}, of fair parts {:.3}, work {:.0}, read {:.0}, late {}, refused {}, displaced {}",
                outcome.calm_part(flood),
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
}
