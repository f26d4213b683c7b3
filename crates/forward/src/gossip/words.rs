//! What entries say on the wire, and in the types of those who decide.

use std::time::Duration;

use policy::others::{self, Calls};
use policy::pools::ServiceDemand;
use policy::rendezvous;
use policy::suspects::{Crash, Fingerprint};
use wire::gossip::{self, Asks, Saying, Scope};

/// A service's number between entries.
pub(super) fn number(service: &str) -> u32 {
    rendezvous::number(service) as u32
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn service(number: u32, told: &ServiceDemand) -> gossip::Service {
    gossip::Service {
        number,
        reading: told.prefill_rate as f32,
        writing: told.decode_calls as f32,
        pace: told.prefill_pace as f32,
        paced: told.pace_entries,
        pause: told.stream_pause as f32,
    }
}

pub(super) fn calls_at((server, calls): (u16, Calls)) -> (u16, u16, u16) {
    let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    (server, small(calls.open), small(calls.waiting))
}

/// What `said` says, in the types of those who decide.
pub(super) fn read(said: &Saying) -> others::Saying {
    let told = |s: &gossip::Service| {
        let told = ServiceDemand {
            prefill_rate: f64::from(s.reading),
            decode_calls: f64::from(s.writing),
            prefill_pace: f64::from(s.pace),
            pace_entries: s.paced,
            stream_pause: f64::from(s.pause),
        };
        (s.number, told)
    };
    let calls = |(server, open, waiting): &(u16, u16, u16)| {
        let calls = Calls {
            open: u32::from(*open),
            waiting: u32::from(*waiting),
        };
        (*server, calls)
    };
    let crash = |crash: &gossip::Crash| {
        let age = Duration::from_millis(u64::from(crash.age_ms));
        let crash = Crash {
            fingerprint: Fingerprint(crash.fingerprint),
            life: crash.life,
        };
        (crash, age)
    };
    others::Saying {
        life: said.life,
        seq: said.seq,
        zone: said.zone,
        scope: match said.scope {
            Scope::Own => others::Scope::Own,
            Scope::Zone => others::Scope::Zone,
            Scope::All => others::Scope::All,
        },
        entries: said.entries,
        every: Duration::from_millis(u64::from(said.every_ms)),
        services: said.services.iter().map(told).collect(),
        calls: said.calls.iter().map(calls).collect(),
        crashes: said.crashes.iter().map(crash).collect(),
    }
}

/// What several entries have, as the one that says `own` passes it on. The
/// busiest servers stand first.
pub(super) fn write(own: &Saying, sum: others::Saying) -> Saying {
    let mut calls = sum.calls;
    calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
    let crash = |(crash, age): (Crash, Duration)| gossip::Crash {
        fingerprint: crash.fingerprint.0,
        life: crash.life,
        age_ms: millis(age),
    };
    Saying {
        scope: match sum.scope {
            others::Scope::Own => Scope::Own,
            others::Scope::Zone => Scope::Zone,
            others::Scope::All => Scope::All,
        },
        asks: Asks::Nothing,
        entries: sum.entries,
        services: sum.services.iter().map(|(n, t)| service(*n, t)).collect(),
        calls: calls.into_iter().map(calls_at).collect(),
        crashes: sum.crashes.into_iter().map(crash).collect(),
        ..own.clone()
    }
}
