//! What entries say on the wire, and in the types of those who decide.

use std::time::Duration;

use policy::others::{self, Calls};
use policy::pools::Told;
use policy::rendezvous;
use policy::suspects::{Crash, Fingerprint};
use wire::gossip::{self, EntryLoad, LoadScope, WantedReply};

/// A service's number between entries.
pub(super) fn number(service: &str) -> u32 {
    rendezvous::number(service) as u32
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn service(service_number: u32, told: &Told) -> gossip::ServiceLoad {
    gossip::ServiceLoad {
        service_number,
        prefill_rate: told.reading as f32,
        decoding_calls: told.writing as f32,
        prefill_pace: told.pace as f32,
        pace_sources: told.paced,
        pause: told.pause as f32,
    }
}

pub(super) fn calls_at((server, calls): (u16, Calls)) -> (u16, u16, u16) {
    let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    (server, small(calls.open), small(calls.waiting))
}

/// What `said` says, in the types of those who decide.
pub(super) fn read(said: &EntryLoad) -> others::Saying {
    let told = |s: &gossip::ServiceLoad| {
        let told = Told {
            reading: f64::from(s.prefill_rate),
            writing: f64::from(s.decoding_calls),
            pace: f64::from(s.prefill_pace),
            paced: s.pace_sources,
            pause: f64::from(s.pause),
        };
        (s.service_number, told)
    };
    let calls = |(server, open, waiting): &(u16, u16, u16)| {
        let calls = Calls {
            open: u32::from(*open),
            waiting: u32::from(*waiting),
        };
        (*server, calls)
    };
    let crash = |crash: &gossip::CrashReport| {
        let age = Duration::from_millis(u64::from(crash.age_ms));
        let crash = Crash {
            fingerprint: Fingerprint(crash.fingerprint),
            life: crash.incarnation,
        };
        (crash, age)
    };
    others::Saying {
        life: said.incarnation,
        seq: said.seq,
        zone: said.zone,
        scope: match said.scope {
            LoadScope::Own => others::Scope::Own,
            LoadScope::Zone => others::Scope::Zone,
            LoadScope::All => others::Scope::All,
        },
        entries: said.entries,
        every: Duration::from_millis(u64::from(said.interval_ms)),
        services: said.services.iter().map(told).collect(),
        calls: said.calls.iter().map(calls).collect(),
        crashes: said.crashes.iter().map(crash).collect(),
    }
}

/// What several entries have, as the one that says `own` passes it on. The
/// busiest servers stand first.
pub(super) fn write(own: &EntryLoad, sum: others::Saying) -> EntryLoad {
    let mut calls = sum.calls;
    calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
    let crash = |(crash, age): (Crash, Duration)| gossip::CrashReport {
        fingerprint: crash.fingerprint.0,
        incarnation: crash.life,
        age_ms: millis(age),
    };
    EntryLoad {
        scope: match sum.scope {
            others::Scope::Own => LoadScope::Own,
            others::Scope::Zone => LoadScope::Zone,
            others::Scope::All => LoadScope::All,
        },
        wanted_reply: WantedReply::Nothing,
        entries: sum.entries,
        services: sum.services.iter().map(|(n, t)| service(*n, t)).collect(),
        calls: calls.into_iter().map(calls_at).collect(),
        crashes: sum.crashes.into_iter().map(crash).collect(),
        ..own.clone()
    }
}
