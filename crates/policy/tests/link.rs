//! When the network link of a host counts as congested.

use std::time::{Duration, Instant};

use policy::link::LinkLoad;

/// Prompts of 9,200 bytes arrive at a link of 10 Mbit/s. At 30 per second it has
/// room, at 80 it is congested. It becomes clear only at a much lower rate, not at
/// each short drop.
#[test]
fn congested_in_a_burst() {
    let mut link = LinkLoad::new(10.0);
    let mut now = Instant::now();
    let mut send_prompts = |count: u32, gap_ms: u64| {
        for _ in 0..count {
            now += Duration::from_millis(gap_ms);
            link.record_bytes(now, 9_200);
        }
        link.congested(now)
    };
    assert!(!send_prompts(150, 33));
    assert!(send_prompts(300, 12));
    assert!(send_prompts(120, 25));
    assert!(!send_prompts(100, 100));
}

#[test]
fn fast_link_is_never_congested() {
    let mut link = LinkLoad::new(1_000.0);
    let mut now = Instant::now();
    for _ in 0..1_000 {
        now += Duration::from_millis(5);
        link.record_bytes(now, 9_200);
    }
    assert!(!link.congested(now));
}
