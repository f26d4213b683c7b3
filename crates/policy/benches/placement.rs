//! Time of one placement decision by number of servers. Run with `cargo bench
//! -p policy --bench placement`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use policy::Placement;
use policy::load::{Load, TokenLatency};
use policy::placement::{PlacementMode, PlacementOptions, PlacementRequest};

/// Decisions per timed run.
const ITERATIONS: u32 = 20_000;

/// Timed runs; the median is printed.
const REPETITIONS: usize = 9;

fn main() {
    println!("mode          servers  us/choose us/record");
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
            let record_load = median(|| record_load(&mut placement, servers));
            println!(
                "{:<13} {servers:7} {choose:10.3} {record_load:9.3}",
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
    record_load(&mut placement, servers);
    placement
}

fn choose(placement: &mut Placement) {
    let now = Instant::now();
    for i in 0..ITERATIONS {
        let request = PlacementRequest {
            target: "model",
            prefix_hash: u64::from(i) + 1,
            excluded: &[],
            fan_out: 2,
        };
        black_box(placement.choose(now, &request));
    }
}

fn record_load(placement: &mut Placement, servers: usize) {
    let now = Instant::now();
    for i in 0..ITERATIONS {
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

/// Median time per iteration in microseconds.
fn median(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..REPETITIONS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[REPETITIONS / 2]
}
