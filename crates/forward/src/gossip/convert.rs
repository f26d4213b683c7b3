//! What entries say on the wire, and in the types of those who decide.

use std::time::Duration;

use policy::peer_load::{self, CallCounts};
use policy::pools::ServiceDemand;
use policy::rendezvous;
use policy::suspects::{Crash, Fingerprint};
use wire::gossip::{self, EntryLoad, LoadScope, WantedReply};

/// A service's number between entries.
pub(super) fn number(service: &str) -> u32 {
    rendezvous::hash_name(service) as u32
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn service(service_number: u32, told: &ServiceDemand) -> gossip::ServiceLoad {
    gossip::ServiceLoad {
        service_number,
        prefill_rate: told.prefill_rate as f32,
        decoding_calls: told.decode_calls as f32,
        prefill_pace: told.prefill_pace as f32,
        pace_sources: told.pace_samples,
        pause: told.stream_pause as f32,
    }
}

pub(super) fn calls_at((server, calls): (u16, CallCounts)) -> (u16, u16, u16) {
    let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    (server, small(calls.open), small(calls.waiting))
}

/// What `said` says, in the types of those who decide.
pub(super) fn read(said: &EntryLoad) -> peer_load::LoadReport {
    let told = |s: &gossip::ServiceLoad| {
        let told = ServiceDemand {
            prefill_rate: f64::from(s.prefill_rate),
            decode_calls: f64::from(s.decoding_calls),
            prefill_pace: f64::from(s.prefill_pace),
            pace_samples: s.pace_sources,
            stream_pause: f64::from(s.pause),
        };
        (s.service_number, told)
    };
    let calls = |(server, open, waiting): &(u16, u16, u16)| {
        let calls = CallCounts {
            open: u32::from(*open),
            waiting: u32::from(*waiting),
        };
        (*server, calls)
    };
    let crash = |crash: &gossip::CrashReport| {
        let age = Duration::from_millis(u64::from(crash.age_ms));
        let crash = Crash {
            fingerprint: Fingerprint(crash.fingerprint),
            incarnation: crash.incarnation,
        };
        (crash, age)
    };
    peer_load::LoadReport {
        incarnation: said.incarnation,
        seq: said.seq,
        zone: said.zone,
        scope: match said.scope {
            LoadScope::Own => peer_load::Scope::Own,
            LoadScope::Zone => peer_load::Scope::Zone,
            LoadScope::All => peer_load::Scope::All,
        },
        entries: said.entries,
        interval: Duration::from_millis(u64::from(said.interval_ms)),
        services: said.services.iter().map(told).collect(),
        calls: said.calls.iter().map(calls).collect(),
        crashes: said.crashes.iter().map(crash).collect(),
    }
}

/// What several entries have, as the one that says `own` passes it on. The
/// busiest servers stand first.
pub(super) fn write(own: &EntryLoad, sum: peer_load::LoadReport) -> EntryLoad {
    let mut calls = sum.calls;
    calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
    let crash = |(crash, age): (Crash, Duration)| gossip::CrashReport {
        fingerprint: crash.fingerprint.0,
        incarnation: crash.incarnation,
        age_ms: millis(age),
    };
    EntryLoad {
        scope: match sum.scope {
            peer_load::Scope::Own => LoadScope::Own,
            peer_load::Scope::Zone => LoadScope::Zone,
            peer_load::Scope::All => LoadScope::All,
        },
        wanted_reply: WantedReply::Nothing,
        entries: sum.entries,
        services: sum.services.iter().map(|(n, t)| service(*n, t)).collect(),
        calls: calls.into_iter().map(calls_at).collect(),
        crashes: sum.crashes.into_iter().map(crash).collect(),
        ..own.clone()
    }
}
