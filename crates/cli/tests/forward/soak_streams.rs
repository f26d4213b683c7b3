//! Randomized soak test of streams from engines that are killed and return at their
//! addresses at once or later, that leave with a short notice or are replaced by a newer
//! version, while entries are killed, stopped and paused and the store goes down. Streams
//! are resumed, moved, continued at copies and taken up by their callers; some have no
//! length. Each must hold its events in order, of one version or run, and end as complete
//! after its last event only.
//!
//! `SOAK_SEEDS=100-149` runs those seeds instead of the few default ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::caller::StreamRead;
use crate::engines::{EVENTS, Engine, Engines, UNFRAMED};
use crate::platform::{Platform, wait_until};
use crate::process::{Entry, wait_all_ready};

const ENTRIES: usize = 3;
const ENGINES: usize = 4;
const CALLERS: u64 = 16;
const STEPS: u32 = 14;

/// Calls that a caller makes for one stream.
const STREAM_CALLS: u32 = 4;

/// Versions of the engines, in the order of their releases.
const VERSIONS: [&str; 2] = ["v1", "v1.1"];

/// Time after which the record of a silent engine is deleted.
const SILENCE: Duration = Duration::from_secs(2);

/// The streams of one caller.
#[derive(Debug, Default)]
struct Counts {
    whole: u32,
    cut: u32,
    taken_up: u32,
    errors: Vec<String>,
}

#[test]
fn stream_seeds() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-2".to_owned());
    let (first, last) = range.split_once('-').expect("SOAK_SEEDS is not FIRST-LAST");
    let number = |text: &str| text.parse::<u64>().expect("seed is not a number");
    let errors: Vec<String> = (number(first)..=number(last))
        .flat_map(|seed| {
            let errors = run_seed(seed).into_iter();
            errors.map(move |e| format!("seed {seed}: {e}"))
        })
        .collect();
    assert!(errors.is_empty(), "{errors:#?}");
}

/// Runs one seed; returns the guarantees that did not hold.
fn run_seed(seed: u64) -> Vec<String> {
    let (platform, store) = Platform::start();
    let engines = Engines::new(Arc::clone(&platform));
    let mut serving: Vec<Arc<Engine>> = (0..ENGINES).map(|_| engines.start(VERSIONS[0])).collect();
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|i| Entry::start_with_copies(&format!("soak-streams-{seed}-{i}"), store))
        .collect();
    wait_until("the entries know the engines", || {
        let known = |e: &Entry| e.ready() && e.status("servers") == ENGINES as u64;
        entries.iter().all(known)
    });
    let addrs: Vec<SocketAddr> = entries.iter().map(Entry::addr).collect();
    let end = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addrs, end) = (addrs.clone(), Arc::clone(&end));
            thread::spawn(move || read_streams(seed, caller, &addrs, &end))
        })
        .collect();

    // Separate generators, so that a further kind of fault changes no other fault of a seed.
    let generator = |kind: u32| Pcg64Mcg::new(u128::from(seed) << 1 | 1 << kind | 1);
    let (mut engine_rng, mut entry_rng) = (generator(76), generator(77));
    let (mut store_rng, mut pause_rng) = (generator(78), generator(79));
    for _ in 0..STEPS {
        engine_fault(&mut engine_rng, &engines, &mut serving);
        entry_fault(&mut entry_rng, &mut entries);
        if store_rng.random_range(0..6) == 0 {
            platform.down.fetch_not(Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(pause_rng.random_range(50..400)));
    }
    platform.end_faults();
    wait_all_ready(&mut entries);
    thread::sleep(Duration::from_millis(500));
    end.store(true, Ordering::SeqCst);
    let mut all = Counts::default();
    for caller in callers {
        let counts = caller.join().expect("caller thread panicked");
        all.whole += counts.whole;
        all.cut += counts.cut;
        all.taken_up += counts.taken_up;
        all.errors.extend(counts.errors);
    }
    let logged = |text: &str| entries.iter().map(|e| e.log_lines(text)).sum::<usize>();
    println!(
        "seed={seed} whole={} cut={} taken_up={} resumed={} continued={} moved={}",
        all.whole,
        all.cut,
        all.taken_up,
        logged("stream resumed"),
        logged("stream continued"),
        logged("stream moved")
    );
    if all.whole == 0 {
        all.errors.push("no stream was whole".to_owned());
    }
    all.errors
}

/// Injects a fault in one engine.
fn engine_fault(rng: &mut Pcg64Mcg, engines: &Arc<Engines>, serving: &mut [Arc<Engine>]) {
    let which = rng.random_range(0..ENGINES);
    let engine = &mut serving[which];
    let (fault, version) = (rng.random_range(0..7), rng.random_range(0..VERSIONS.len()));
    let after = Duration::from_millis(rng.random_range(0..300));
    println!("  engine={which} fault={fault}");
    match fault {
        0 | 1 => {
            engine.kill(SILENCE);
            if fault == 1 {
                thread::sleep(after);
            }
            *engine = engine.restart();
        }
        2 => {
            engine.kill(SILENCE);
            *engine = engines.start(VERSIONS[version]);
        }
        3 | 4 => {
            let new = engines.start(VERSIONS[version]);
            std::mem::replace(engine, new).leave(after * 8);
        }
        _ => {}
    }
}

/// Injects a fault in one entry, or ends one.
fn entry_fault(rng: &mut Pcg64Mcg, entries: &mut [Entry]) {
    let which = rng.random_range(0..ENTRIES);
    let entry = &mut entries[which];
    let (fault, pause) = (rng.random_range(0..6), rng.random_range(50..400));
    if !entry.running() {
        entry.wait();
        entry.restart();
        return;
    }
    println!("  entry={which} fault={fault}");
    match fault {
        0 => entry.signal(Signal::SIGKILL),
        1 => entry.signal(Signal::SIGTERM),
        2 => {
            entry.signal(Signal::SIGSTOP);
            thread::sleep(Duration::from_millis(pause));
            entry.signal(Signal::SIGCONT);
        }
        _ => {}
    }
}

/// Reads streams until `end` is set, takes those that may be resumed up at any entry when
/// they break, and checks each.
fn read_streams(seed: u64, caller: u64, addrs: &[SocketAddr], end: &AtomicBool) -> Counts {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 8 | u128::from(caller) << 1 | 1 << 80 | 1);
    let mut counts = Counts::default();
    for i in 0.. {
        if end.load(Ordering::SeqCst) {
            break;
        }
        let kind = ["talk", "engine"][rng.random_range(0..2)];
        let framing = ["framed", UNFRAMED][rng.random_range(0..2)];
        let (path, first) = (
            format!("/{kind}/{framing}"),
            format!("{kind}-{seed}-{caller}-{i}"),
        );
        let mut stream = StreamRead::default();
        for again in 0..STREAM_CALLS {
            let addr = addrs[rng.random_range(0..addrs.len())];
            let id = match again {
                0 => first.clone(),
                _ => format!("{first}-{again}"),
            };
            counts.taken_up += u32::from(!stream.events.is_empty());
            stream.read_at(addr, &path, &id, &first, usize::MAX);
            let broken = !stream.complete && kind == "talk";
            if stream.complete || !(broken || stream.status == 503) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        let last = stream.events.len() == EVENTS as usize;
        if !stream.is_consistent() || stream.complete && !last {
            counts.errors.push(format!("{first}: {path} {stream:?}"));
        }
        counts.whole += u32::from(stream.complete);
        counts.cut += u32::from(!stream.complete && !stream.events.is_empty());
        thread::sleep(Duration::from_millis(2));
    }
    counts
}
