//! Cost of one placement decision by the number of known servers. Run it by
//! `cargo bench -p policy --bench placement`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use policy::Placement;
use policy::load::{Load, TokenLatency};
use policy::placement::{PlacementMode, PlacementOptions, PlacementRequest};

/// Decisions timed at once.
const ROUNDS: u32 = 20_000;

/// Timed runs, of which the median is told.
const RUNS: usize = 9;

fn main() {
    println!("mode          servers  us/choose  us/heard");
    let modes = [
        PlacementMode::LateBinding,
        PlacementMode::Random,
        PlacementMode::LeastLoaded,
        PlacementMode::TwoChoices,
    ];
    for mode in modes {
        for servers in [8, 32, 128, 512] {
            let mut placement = placement(mode, servers);
            let choose = median(|| choose(&mut placement));
            let heard = median(|| heard(&mut placement, servers));
            println!(
                "{:<13} {servers:7} {choose:10.3} {heard:9.3}",
                format!("{mode:?}")
            );
        }
    }
}

fn placement(mode: PlacementMode, servers: usize) -> Placement {
    let mut placement = Placement::new(PlacementOptions {
        mode,
        report_lag: Duration::from_millis(500),
        zone: "a".to_owned(),
        seed: 1,
    });
    for i in 0..servers {
        let zone = ["a", "b", "c"][i % 3];
        placement.add_server(i, &format!("server-{i}"), zone, "model");
    }
    heard(&mut placement, servers);
    placement
}

fn choose(placement: &mut Placement) {
    let now = Instant::now();
    for i in 0..ROUNDS {
        let want = PlacementRequest {
            target: "model",
            prefix_hash: u64::from(i) + 1,
            excluded: &[],
            fan_out: 2,
        };
        black_box(placement.choose(now, &want));
    }
}

fn heard(placement: &mut Placement, servers: usize) {
    let now = Instant::now();
    for i in 0..ROUNDS {
        let load = Load {
            running: i % 8,
            slots: 8,
            latency: TokenLatency {
                first_token: Duration::from_millis(9),
                per_token: Duration::from_millis(3),
            },
            ..Load::default()
        };
        black_box(placement.record_load(now, i as usize % servers, load, 0.3));
    }
}

/// Median time of one of the rounds, in microseconds.
fn median(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}
