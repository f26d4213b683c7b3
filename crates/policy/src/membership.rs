//! Which hosts there are, from a list that lags and from their own answers.
//!
//! The list proposes hosts. It may be late, frozen, empty or out of reach, so
//! a host that it no longer shows stays for as long as it answers, and is
//! forgotten a bounded time after its last answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::ids::Incarnation;

use crate::subset::{self, HostRef, SubsetSize};

/// How membership is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipLimits {
    /// How many servers of each service are known.
    pub subset_size: SubsetSize,
    /// How long a host stays that is not listed and does not answer.
    pub forget_after: Duration,
}

/// A host as the list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The daemon's name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: String,
    /// What runs there.
    pub kind: HostKind,
    /// Whether the list says that it is about to go away.
    pub leaving: bool,
}

/// What runs on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostKind {
    /// An entry.
    Entry,
    /// A sidecar.
    Sidecar {
        /// The model or plain service that its backend server offers.
        serves: String,
    },
}

/// What became of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// It was taken over.
    Taken,
    /// It shows no sidecar at all, which is taken for a fault of the list.
    Ignored,
}

/// The hosts that an entry knows.
#[derive(Debug)]
pub struct Membership {
    /// The entry's own name.
    name: String,
    /// The entry's own availability zone.
    zone: String,
    limits: MembershipLimits,
    hosts: BTreeMap<String, Record>,
}

/// One host and what was heard of it.
#[derive(Debug)]
struct Record {
    host: Host,
    /// Whether the last list showed it.
    listed: bool,
    /// When it last answered or the list last changed about it.
    seen: Instant,
    /// The life in which it last answered.
    life: Option<Incarnation>,
    /// The life that the list says is about to end.
    ending: Option<Incarnation>,
}

impl Membership {
    /// Makes the membership of the entry `name` in `zone`, which knows no
    /// other host yet.
    #[must_use]
    pub fn new(name: &str, zone: &str, limits: MembershipLimits) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            limits,
            hosts: BTreeMap::new(),
        }
    }

    /// Takes a list over.
    ///
    /// A list without any sidecar would leave no backend server for any
    /// request, and comes from a fault of the platform far more often than
    /// from a fleet that is gone; the hosts' own answers tell these apart.
    pub fn apply_list(&mut self, now: Instant, hosts: &[Host]) -> ListOutcome {
        let sidecar = |h: &Host| matches!(h.kind, HostKind::Sidecar { .. });
        if !hosts.iter().any(sidecar) {
            return ListOutcome::Ignored;
        }

        let shown: BTreeMap<&str, &Host> = hosts.iter().map(|h| (h.name.as_str(), h)).collect();
        for (name, record) in &mut self.hosts {
            let listed = shown.contains_key(name.as_str());
            if record.listed && !listed {
                // The time until it is forgotten starts here, also for a host
                // that this entry had no reason to call.
                record.seen = now;
            }
            record.listed = listed;
        }
        for host in hosts {
            match self.hosts.get_mut(&host.name) {
                Some(record) => record.update(host),
                None => {
                    self.hosts.insert(host.name.clone(), Record::new(now, host));
                }
            }
        }
        ListOutcome::Taken
    }

    /// Notes that a host answered at `at`, in its life `life`.
    pub fn note_answer(&mut self, at: Instant, name: &str, life: Incarnation) {
        if let Some(record) = self.hosts.get_mut(name) {
            record.seen = record.seen.max(at);
            record.life = Some(life);
            // A host first heard of after the list called it leaving: that
            // this is its next life already cannot be told.
            if record.host.leaving && record.ending.is_none() {
                record.ending = Some(life);
            }
        }
    }

    /// Forgets hosts that are neither listed nor answer; returns how many.
    pub fn sweep(&mut self, now: Instant) -> usize {
        let before = self.hosts.len();
        let forget = self.limits.forget_after;
        self.hosts
            .retain(|_, r| r.listed || now.saturating_duration_since(r.seen) < forget);
        before - self.hosts.len()
    }

    /// The sidecars that the entry should keep connections to.
    #[must_use]
    pub fn chosen_sidecars(&self) -> Vec<&Host> {
        let entries = self
            .hosts
            .values()
            .filter(|r| r.host.kind == HostKind::Entry);
        let entries: Vec<HostRef> = entries.map(|r| place(&r.host)).collect();
        let me = HostRef {
            name: &self.name,
            zone: &self.zone,
        };

        let mut services: BTreeMap<&str, Vec<&Host>> = BTreeMap::new();
        for record in self.hosts.values() {
            if let HostKind::Sidecar { serves } = &record.host.kind {
                services.entry(serves).or_default().push(&record.host);
            }
        }

        let mut chosen = Vec::new();
        for hosts in services.values() {
            let places: Vec<HostRef> = hosts.iter().map(|h| place(h)).collect();
            let picked = subset::choose(me, &entries, &places, self.limits.subset_size);
            chosen.extend(picked.into_iter().map(|i| hosts[i]));
        }
        chosen
    }

    /// Whether the list leaves a host for new work.
    ///
    /// The list may speak of an earlier life: once the host answers in a new
    /// one, it has come back, and waiting for the list would keep it idle for
    /// as long as the list lags.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        let Some(record) = self.hosts.get(name) else {
            return true;
        };
        let back = record.ending.is_some() && record.ending != record.life;
        record.host.leaving && !back
    }

    /// Whether the last list showed a host.
    #[must_use]
    pub fn is_listed(&self, name: &str) -> bool {
        self.hosts.get(name).is_some_and(|r| r.listed)
    }

    /// How many hosts are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

impl Record {
    fn new(now: Instant, host: &Host) -> Self {
        Self {
            host: host.clone(),
            listed: true,
            seen: now,
            life: None,
            ending: None,
        }
    }

    fn update(&mut self, host: &Host) {
        match host.leaving {
            true if !self.host.leaving => self.ending = self.life,
            true => {}
            false => self.ending = None,
        }
        if self.host != *host {
            self.host = host.clone();
        }
    }
}

fn place(host: &Host) -> HostRef<'_> {
    HostRef {
        name: &host.name,
        zone: &host.zone,
    }
}
