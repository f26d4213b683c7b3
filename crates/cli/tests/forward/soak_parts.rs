//! Randomized soak test of requests with a part of their prompts under which every server
//! crashes. They come to any entry, no two alike, beside sound ones that share their other
//! parts, while entries are killed, paused and restarted, the store goes down and is
//! restored, and all servers crash together.
//!
//! `SOAK_SEEDS=100-149` runs those seeds instead of the few default ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::caller::{call, call_with_prompt};
use crate::fleet::served;
use crate::platform::{FATAL_PART, Platform, Server, wait_until};
use crate::process::{Entry, wait_all_ready};

const ENTRIES: usize = 4;
const SERVERS: usize = 4;
const SOUND_CALLERS: u64 = 4;
const STEPS: u32 = 14;

/// Calls with the fatal part that are sent to each entry after all know of it, and servers
/// that may still crash.
const LATE_CALLS: usize = 12;
const MAX_LATE_CRASHES: u32 = 3;

/// Servers that are replaced when they crash.
type Servers = Arc<Mutex<Vec<Server>>>;

/// Counts of sound calls.
#[derive(Debug, Default)]
struct SoundCounts {
    sent: AtomicU32,
    served: AtomicU32,
}

#[test]
fn fatal_part_seeds() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-2".to_owned());
    let (first, last) = range.split_once('-').expect("SOAK_SEEDS is not FIRST-LAST");
    let number = |text: &str| text.parse::<u64>().expect("seed is not a number");
    let errors: Vec<String> = (number(first)..=number(last))
        .flat_map(|seed| {
            run_seed(seed)
                .into_iter()
                .map(move |e| format!("seed {seed}: {e}"))
        })
        .collect();
    assert!(errors.is_empty(), "{errors:#?}");
}

/// Runs one seed; returns the guarantees that did not hold.
fn run_seed(seed: u64) -> Vec<String> {
    let (platform, store) = Platform::start();
    let servers: Servers = Arc::default();
    let new = (0..SERVERS).map(|_| platform.server());
    servers.lock().expect("mutex poisoned").extend(new);
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|i| Entry::start(&format!("soak-part-{seed}-{i}"), store, None))
        .collect();
    wait_until("the entries are ready", || entries.iter().all(Entry::ready));
    let addrs: Vec<SocketAddr> = entries.iter().map(Entry::addr).collect();
    let (end, counts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(SoundCounts::default()),
    );
    let mut threads = vec![{
        let (servers, end) = (Arc::clone(&servers), Arc::clone(&end));
        thread::spawn(move || replace_crashed(&servers, &end))
    }];
    for caller in 0..=SOUND_CALLERS {
        let (addrs, end, counts) = (addrs.clone(), Arc::clone(&end), Arc::clone(&counts));
        threads.push(thread::spawn(move || match caller {
            0 => send_fatal(seed, &addrs, &end),
            _ => send_sound(seed, caller, &addrs, &end, &counts),
        }));
    }

    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1 << 73 | 1);
    for _ in 0..STEPS {
        inject_fault(&mut rng, &platform, &servers, &mut entries);
        thread::sleep(Duration::from_millis(rng.random_range(20..250)));
    }
    platform.end_faults();
    wait_all_ready(&mut entries);
    wait_until("all entries refuse the part", || {
        entries.iter().all(|e| e.status("accused") >= 1)
    });
    // An entry that has just reached the store again may know lost servers.
    wait_until("all entries serve calls", || {
        let serves = |addr: &SocketAddr| served(&call(*addr, "/safe/x", "other"));
        addrs
            .iter()
            .all(|addr| (0..SERVERS * 2).all(|_| serves(addr)))
    });
    let errors = check_contained(seed, &platform, &addrs, &counts);
    end.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().expect("thread panicked");
    }
    errors
}

/// Sends further calls with the fatal part to entries that know it, and checks that hardly
/// any reaches a server and that sound calls beside are served.
fn check_contained(
    seed: u64,
    platform: &Platform,
    addrs: &[SocketAddr],
    counts: &SoundCounts,
) -> Vec<String> {
    let crashes = || platform.crashes.load(Ordering::SeqCst);
    let load = |count: &AtomicU32| count.load(Ordering::SeqCst);
    let (before, sent, served) = (crashes(), load(&counts.sent), load(&counts.served));
    for n in 0..LATE_CALLS {
        for (i, addr) in addrs.iter().enumerate() {
            let (path, id) = (
                format!("/safe/late-{n}-{i}"),
                format!("late-{seed}-{n}-{i}"),
            );
            let parts = format!("aa:100,{FATAL_PART}:50,7{n:03x}{i:03x}:20");
            call_with_prompt(*addr, &path, &id, &parts);
            thread::sleep(Duration::from_millis(20));
        }
    }
    let late = crashes() - before;
    let (sent, served) = (load(&counts.sent) - sent, load(&counts.served) - served);
    println!("seed={seed} crashes={before} late={late} sound={served} of {sent}");
    let mut errors = Vec::new();
    if late > MAX_LATE_CRASHES {
        errors.push(format!(
            "{late} servers crashed after all entries knew the part"
        ));
    }
    if sent == 0 || served * 2 < sent {
        errors.push(format!("{served} of {sent} sound calls were served"));
    }
    errors
}

/// Injects one fault.
fn inject_fault(
    rng: &mut Pcg64Mcg,
    platform: &Arc<Platform>,
    servers: &Servers,
    entries: &mut [Entry],
) {
    let entry = &mut entries[rng.random_range(0..ENTRIES)];
    if !entry.running() {
        entry.wait();
        entry.restart();
        return;
    }
    match rng.random_range(0..7) {
        0 => entry.signal(Signal::SIGKILL),
        1 => entry.signal(Signal::SIGTERM),
        2 => {
            entry.signal(Signal::SIGSTOP);
            thread::sleep(Duration::from_millis(rng.random_range(50..400)));
            entry.signal(Signal::SIGCONT);
        }
        3 => {
            let down = platform.down.load(Ordering::SeqCst);
            platform.down.store(!down, Ordering::SeqCst);
        }
        4 => platform.restore_backup(
            rng.random_range(0..6),
            Duration::from_millis(rng.random_range(0..800)),
        ),
        5 => {
            let servers = servers.lock().expect("mutex poisoned");
            servers.iter().for_each(Server::crash);
        }
        _ => {}
    }
}

/// Replaces servers that have crashed, until `end` is set.
fn replace_crashed(servers: &Servers, end: &AtomicBool) {
    while !end.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(60));
        for server in servers.lock().expect("mutex poisoned").iter_mut() {
            if server.is_stopped() {
                server.deregister();
                *server = server.replacement();
            }
        }
    }
}

/// Sends calls with the fatal part, no two alike, until `end` is set.
fn send_fatal(seed: u64, addrs: &[SocketAddr], end: &AtomicBool) {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1 << 74 | 1);
    for n in 0.. {
        if end.load(Ordering::SeqCst) {
            return;
        }
        let addr = addrs[rng.random_range(0..addrs.len())];
        let kind = ["safe", "once", "stream"][n % 3];
        let parts = match n % 2 {
            0 => format!("aa:100,{FATAL_PART}:50,1{n:05x}:20"),
            _ => format!("{FATAL_PART}:50,c{:03x}:30,2{n:05x}:20", n % 4),
        };
        call_with_prompt(
            addr,
            &format!("/{kind}/{n}"),
            &format!("fatal-{seed}-{n}"),
            &parts,
        );
        thread::sleep(Duration::from_millis(rng.random_range(10..60)));
    }
}

/// Sends sound calls that share the other parts, until `end` is set, and counts them.
fn send_sound(
    seed: u64,
    caller: u64,
    addrs: &[SocketAddr],
    end: &AtomicBool,
    counts: &SoundCounts,
) {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 8 | u128::from(caller) << 1 | 1 << 75 | 1);
    for n in 0.. {
        if end.load(Ordering::SeqCst) {
            return;
        }
        let addr = addrs[rng.random_range(0..addrs.len())];
        let kind = ["safe", "once", "stream"][n % 3];
        let parts = format!("aa:100,c{:03x}:30,{FATAL_PART}:20", n % 4);
        let (path, id) = (
            format!("/{kind}/s{caller}-{n}"),
            format!("sound-{seed}-{caller}-{n}"),
        );
        counts.sent.fetch_add(1, Ordering::SeqCst);
        if served(&call_with_prompt(addr, &path, &id, &parts)) {
            counts.served.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(5));
    }
}
