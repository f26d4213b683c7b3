//! Conversion between load reports on the wire and the types of the policies.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::peer_load::{self, CallCounts};
use policy::pools::ServiceDemand;
use policy::rendezvous;
use policy::shares::rates::{GroupRates, ShareGroup};
use policy::suspects::{Crash, CrashReport, Fingerprint};
use wire::gossip::{self, EntryLoad, LoadScope, RateOf, WantedReply, WorkspaceRate};

/// The number that identifies a service in gossip messages.
pub(crate) fn service_number(service: &str) -> u32 {
    rendezvous::hash_name(service) as u32
}

pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn service_load(service_number: u32, demand: &ServiceDemand) -> gossip::ServiceLoad {
    gossip::ServiceLoad {
        service_number,
        prefill_rate: demand.prefill_rate as f32,
        decoding_calls: demand.decode_calls as f32,
        prefill_pace: demand.prefill_pace as f32,
        pace_sources: demand.pace_entries,
        pause: demand.stream_pause as f32,
    }
}

pub(super) fn server_calls((server, calls): (u16, CallCounts)) -> (u16, u16, u16) {
    let to_u16 = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    (server, to_u16(calls.open), to_u16(calls.waiting))
}

/// Resolution of paces on the wire.
const PACE_UNIT: Duration = Duration::from_micros(10);

pub(super) fn to_pace((server, event): (u16, Duration)) -> (u16, u16) {
    let units = event.as_nanos() / PACE_UNIT.as_nanos();
    (server, u16::try_from(units).unwrap_or(u16::MAX))
}

fn from_pace((server, units): &(u16, u16)) -> (u16, Duration) {
    (*server, PACE_UNIT * u32::from(*units))
}

/// Converts the rates of a group to the wire.
pub(super) fn workspace_rates((group, rates): &(ShareGroup, GroupRates)) -> Vec<WorkspaceRate> {
    let rate = |of: RateOf, rate: f64| WorkspaceRate {
        service_number: group.service,
        tier: group.tier,
        of,
        rate: rate as f32,
    };
    let workspaces = rates.workspaces.iter();
    let workspaces = workspaces.map(|(w, r)| rate(RateOf::Workspace(*w), *r));
    let others =
        (rates.other_count > 0).then(|| rate(RateOf::Others(rates.other_count), rates.other_rate));
    let rejected = (rates.rejected > 0.0).then(|| rate(RateOf::Rejected, rates.rejected));
    workspaces
        .chain(others)
        .chain([rate(RateOf::Sent, rates.sent)])
        .chain(rejected)
        .collect()
}

/// Converts the rates of workspaces from the wire. Rates that are no numbers are
/// ignored.
fn decode_rates(rates: &[WorkspaceRate]) -> Vec<(ShareGroup, GroupRates)> {
    let mut groups: BTreeMap<ShareGroup, GroupRates> = BTreeMap::new();
    for rate in rates.iter().filter(|r| r.rate.is_finite() && r.rate > 0.0) {
        let group = ShareGroup {
            service: rate.service_number,
            tier: rate.tier,
        };
        let rates = groups.entry(group).or_default();
        let value = f64::from(rate.rate);
        match rate.of {
            RateOf::Workspace(workspace) => {
                rates.workspaces.insert(workspace, value);
            }
            RateOf::Others(count) => (rates.other_count, rates.other_rate) = (count, value),
            RateOf::Sent => rates.sent = value,
            RateOf::Rejected => rates.rejected = value,
        }
    }
    groups.into_iter().collect()
}

/// A quantity on the wire. One that is no number, infinite or negative counts as zero: it
/// would make all sums with it useless.
fn quantity(value: f32) -> f64 {
    match value.is_finite() && value > 0.0 {
        true => f64::from(value),
        false => 0.0,
    }
}

/// Converts a load report from the wire.
pub(super) fn decode_load(load: &EntryLoad) -> peer_load::LoadReport {
    let demand = |s: &gossip::ServiceLoad| {
        let demand = ServiceDemand {
            prefill_rate: quantity(s.prefill_rate),
            decode_calls: quantity(s.decoding_calls),
            prefill_pace: quantity(s.prefill_pace),
            pace_entries: s.pace_sources,
            stream_pause: quantity(s.pause),
        };
        (s.service_number, demand)
    };
    let calls = |(server, open, waiting): &(u16, u16, u16)| {
        let calls = CallCounts {
            open: u32::from(*open),
            waiting: u32::from(*waiting),
        };
        (*server, calls)
    };
    peer_load::LoadReport {
        incarnation: load.incarnation,
        seq: load.seq,
        zone: load.zone,
        scope: match load.scope {
            LoadScope::Own => peer_load::Scope::Own,
            LoadScope::Zone => peer_load::Scope::Zone,
            LoadScope::All => peer_load::Scope::All,
        },
        entries: load.entries,
        interval: Duration::from_millis(u64::from(load.interval_ms)),
        services: load.services.iter().map(demand).collect(),
        calls: load.calls.iter().map(calls).collect(),
        crashes: load.crashes.iter().map(decode_crash).collect(),
        sound_parts: decode_sound(&load.sound_parts),
        paces: load.paces.iter().map(from_pace).collect(),
        workspaces: decode_rates(&load.workspaces),
    }
}

/// Converts the total of several entries to a report sent by the entry with the report
/// `own`. The busiest servers come first, since [`gossip::encode`] drops calls from the
/// end when a datagram is too long.
pub(super) fn encode_load(own: &EntryLoad, total: peer_load::LoadReport) -> EntryLoad {
    let mut calls = total.calls;
    calls.sort_by_key(|(_, calls)| std::cmp::Reverse(calls.open));
    EntryLoad {
        scope: match total.scope {
            peer_load::Scope::Own => LoadScope::Own,
            peer_load::Scope::Zone => LoadScope::Zone,
            peer_load::Scope::All => LoadScope::All,
        },
        wanted_reply: WantedReply::Nothing,
        entries: total.entries,
        services: total
            .services
            .iter()
            .map(|(n, t)| service_load(*n, t))
            .collect(),
        calls: calls.into_iter().map(server_calls).collect(),
        crashes: total.crashes.iter().map(encode_crash).collect(),
        sound_parts: encode_sound(&total.sound_parts),
        paces: total.paces.into_iter().map(to_pace).collect(),
        workspaces: total.workspaces.iter().flat_map(workspace_rates).collect(),
        ..own.clone()
    }
}

/// Converts a report of a crash for a datagram.
pub(super) fn encode_crash(report: &CrashReport) -> gossip::CrashReport {
    gossip::CrashReport {
        fingerprint: report.crash.fingerprint.0,
        incarnation: report.crash.incarnation,
        age_ms: millis(report.age),
        run_ms: millis(report.run),
        just_began: report.just_began,
        shared_parts: report.shared_parts.clone(),
    }
}

/// Converts a report of a crash from a datagram.
pub(super) fn decode_crash(report: &gossip::CrashReport) -> CrashReport {
    CrashReport {
        crash: Crash {
            fingerprint: Fingerprint(report.fingerprint),
            incarnation: report.incarnation,
        },
        age: Duration::from_millis(u64::from(report.age_ms)),
        run: Duration::from_millis(u64::from(report.run_ms)),
        just_began: report.just_began,
        shared_parts: report.shared_parts.clone(),
    }
}

/// Converts parts that are known to be sound for a datagram.
pub(super) fn encode_sound(parts: &[(u64, Duration)]) -> Vec<(u64, u32)> {
    parts
        .iter()
        .map(|(part, age)| (*part, millis(*age)))
        .collect()
}

/// Converts parts that are known to be sound from a datagram.
pub(super) fn decode_sound(parts: &[(u64, u32)]) -> Vec<(u64, Duration)> {
    let age = |ms: u32| Duration::from_millis(u64::from(ms));
    parts.iter().map(|(part, ms)| (*part, age(*ms))).collect()
}
