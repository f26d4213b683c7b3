//! Requests that have one part of their prompts in common, under which every server crashes.

use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::caller::{Outcome, call_with_prompt};
use crate::fleet::{Fleet, served};
use crate::platform::{FATAL_PART, wait_until};
use crate::process::Entry;

/// Number of requests with the fatal part. Each would crash a server.
const ATTEMPTS: usize = 14;

/// Servers that may crash: five until the part must be known, and three after that.
const MAX_CRASHES: u32 = 5 + 3;

/// Trials of a fatal part in half an hour.
const MAX_TRIALS: usize = 3;

/// Entries of a fleet.
const ENTRIES: usize = 4;

/// The parts of the prompt of the fatal request `n`. Apart from the fatal one, no two
/// requests have all parts in common.
fn fatal_prompt(n: usize) -> String {
    match n % 3 {
        0 => format!("aa:100,{FATAL_PART}:50,1{n:03x}:20"),
        1 => format!("aa:100,b{n:03x}:30,{FATAL_PART}:50,2{n:03x}:20"),
        _ => format!("{FATAL_PART}:50,c{:03x}:30,3{n:03x}:20", n % 4),
    }
}

/// The parts of the prompt of the sound request `n`, which shares all but the fatal part.
fn sound_prompt(n: usize) -> String {
    match n % 3 {
        0 => format!("aa:100,4{n:03x}:20"),
        1 => format!("aa:100,c{:03x}:30,5{n:03x}:20", n % 4),
        _ => format!("c{:03x}:30,{FATAL_PART}:20", n % 4),
    }
}

/// Sends `count` requests with the fatal part to one entry after the other, each followed by
/// sound ones that share its other parts.
fn send(fleet: &mut Fleet, path: &str, first: usize, count: usize) {
    for n in first..first + count {
        let entry = fleet.entries[n % ENTRIES].addr();
        let fatal_path = format!("{path}/{n}");
        call_with_prompt(entry, &fatal_path, &format!("try-{n}"), &fatal_prompt(n));
        fleet.replace();
        serve_sound(fleet, path, n);
    }
}

/// Sends a sound request to each entry, all of which must be served at the first attempt.
fn serve_sound(fleet: &Fleet, path: &str, n: usize) {
    for (i, entry) in fleet.entries.iter().enumerate() {
        let (path, id) = (format!("{path}/s{n}-{i}"), format!("sound-{n}-{i}"));
        let outcome = call_with_prompt(entry.addr(), &path, &id, &sound_prompt(n + i));
        assert!(served(&outcome), "{id}: {outcome:?}");
    }
}

fn knows_crashes(fleet: &Fleet) -> bool {
    fleet.entries.iter().all(|e| e.status("crashes") >= 3)
}

/// Number of calls that entries have sent as trials.
fn trials(fleet: &Fleet) -> usize {
    let lines = fleet.entries.iter().map(|e| e.log_lines("sent as a trial"));
    lines.sum()
}

/// Guards against requests that crash servers being recognized only as a whole: those that
/// have nothing but one part of their prompts in common crash one server after the other.
#[rstest]
#[case::safe("/safe")]
#[case::once("/once")]
#[case::stream("/stream")]
#[case::engine("/engine")]
fn fatal_part_is_blocked(#[case] path: &str) {
    let name = path.replace('/', "-");
    let mut fleet = Fleet::start(&format!("part{name}"), ENTRIES);
    send(&mut fleet, path, 0, ATTEMPTS);
    let crashes = fleet.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
}

/// Guards against losing the record of a fatal part when entries restart: they must read it
/// from the store.
#[test]
fn fatal_part_blocked_after_restart() {
    let mut fleet = Fleet::start("part-restart", ENTRIES);
    send(&mut fleet, "/once", 0, 6);
    for entry in &mut fleet.entries {
        entry.signal(Signal::SIGKILL);
        entry.wait();
        entry.restart();
    }
    wait_until("all entries know the crashes", || knows_crashes(&fleet));
    fleet.replace();
    let (before, tried) = (fleet.crashes() as usize, trials(&fleet));
    send(&mut fleet, "/once", 6, 6);
    // A call is sent as a trial if the test takes long.
    wait_until("all later crashes were trials", || {
        let trials = trials(&fleet);
        trials <= MAX_TRIALS && fleet.crashes() as usize - before == trials - tried
    });
}

/// Guards against each entry counting the crashes of a fatal part alone during a store
/// outage.
#[test]
fn fatal_part_is_gossiped_during_store_outage() {
    let mut fleet = Fleet::start("part-away", ENTRIES);
    for _ in 0..ATTEMPTS {
        fleet.servers.push(fleet.platform.server());
    }
    let listed = fleet.servers.len() as u64;
    wait_until("all entries know each other and the servers", || {
        let known =
            |e: &Entry| e.status("entries") == ENTRIES as u64 - 1 && e.status("servers") == listed;
        fleet.entries.iter().all(known)
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    for n in 0..ATTEMPTS {
        let entry = fleet.entries[n % ENTRIES].addr();
        let path = format!("/once/{n}");
        call_with_prompt(entry, &path, &format!("away-{n}"), &fatal_prompt(n));
        let held = u64::from(fleet.crashes().min(3));
        wait_until("all entries know the crashes", || {
            fleet.entries.iter().all(|e| e.status("crashes") >= held)
        });
    }
    let crashes = fleet.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
    serve_sound(&fleet, "/once", 0);
}

/// Guards against the refusal of a part of a prompt that only looks fatal because it is the
/// last part of fatal requests, or a whole rack crashes while it runs calls with it.
#[test]
fn parts_beside_crashes_are_served() {
    let mut fleet = Fleet::start("part-rack", ENTRIES);
    for round in 0..5 {
        let servers = fleet.servers.len();
        let calls: Vec<_> = (0..ENTRIES * 3)
            .map(|n| {
                let entry = fleet.entries[n % ENTRIES].addr();
                let (path, id) = (format!("/stream/{round}-{n}"), format!("rack-{round}-{n}"));
                std::thread::spawn(move || call_with_prompt(entry, &path, &id, "aa:100,dd:10,ee:5"))
            })
            .collect();
        fleet.servers.iter().for_each(|s| s.crash());
        let outcomes: Vec<Outcome> = calls
            .into_iter()
            .map(|c| c.join().expect("caller thread panicked"))
            .collect();
        assert_eq!(outcomes.len(), ENTRIES * 3);
        fleet.replace();
        assert_eq!(fleet.servers.len(), servers);
        for (i, entry) in fleet.entries.iter().enumerate() {
            let id = format!("after-{round}-{i}");
            let outcome = call_with_prompt(entry.addr(), "/stream/x", &id, "aa:100,dd:10,ee:5");
            assert!(served(&outcome), "{id}: {outcome:?}");
        }
    }
}
