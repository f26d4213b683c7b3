//! The typical time between events that a sidecar states.

use std::time::{Duration, Instant};

use policy::grants::GrantController;

use crate::common::ms;

/// A single stream beside prefill says little about the engine, and an engine
/// that has turned slow must show it within a few streams.
#[test]
fn typical_event_time_is_robust() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    grants.record_event_time(now, ms(20));
    assert_eq!(grants.event_time(now), None, "not measured unless enabled");
    grants.enable_paces();
    grants.record_event_time(now, ms(20));
    grants.record_event_time(now, Duration::ZERO);
    grants.record_event_time(now, ms(22));
    assert_eq!(grants.event_time(now), None);
    grants.record_event_time(now, ms(400));
    assert_eq!(grants.event_time(now), Some(ms(22)));
    for _ in 0..12 {
        grants.record_event_time(now, ms(21));
    }
    for _ in 0..7 {
        grants.record_event_time(now, ms(55));
    }
    assert_eq!(grants.event_time(now), Some(ms(55)));
    assert_eq!(grants.event_time(now + Duration::from_secs(31)), None);
    // A restarted engine is unknown.
    grants.engine_stopped();
    assert_eq!(grants.event_time(now), None);
}
