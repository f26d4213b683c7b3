//! Which hosts exist, according to a list that lags and to their own answers.
//!
//! The list may be late, frozen, empty or unreachable. A host that it no longer
//! shows therefore stays known as long as it answers, and is forgotten a bounded
//! time after its last answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use base::ids::Incarnation;

use crate::subset::{self, HostRef, SubsetSize};

/// Limits on the hosts that an entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipLimits {
    /// The size of the subset of each service.
    pub subset_size: SubsetSize,
    /// How long a host stays known that is neither listed nor answers.
    pub forget_after: Duration,
}

/// A host in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The daemon's name.
    pub name: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// What runs on it.
    pub kind: HostKind,
    /// Whether the list shows it as draining.
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

/// The result of applying a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOutcome {
    /// It was applied.
    Taken,
    /// It contains no sidecar, which is taken for a fault of the list.
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
    hosts: BTreeMap<String, KnownHost>,
}

/// One host and what is known of it.
#[derive(Debug)]
struct KnownHost {
    host: Host,
    /// Whether the last list contained it.
    listed: bool,
    /// When it last answered, or was dropped from the list.
    last_seen: Instant,
    /// The incarnation in which it last answered.
    incarnation: Option<Incarnation>,
    /// The incarnation that the list shows as draining.
    draining: Option<Incarnation>,
}

impl Membership {
    /// Creates the membership of the entry `name` in `zone`, which knows no
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

    /// Applies a list.
    ///
    /// A list without any sidecar is ignored: it would leave no backend server
    /// for any request, and is far more often a fault of the platform than a
    /// fleet that is gone. A fleet that is gone shows by its missing answers.
    pub fn apply_list(&mut self, now: Instant, hosts: &[Host]) -> ListOutcome {
        let is_sidecar = |h: &Host| matches!(h.kind, HostKind::Sidecar { .. });
        if !hosts.iter().any(is_sidecar) {
            return ListOutcome::Ignored;
        }

        let shown: BTreeMap<&str, &Host> = hosts.iter().map(|h| (h.name.as_str(), h)).collect();
        for (name, known) in &mut self.hosts {
            let listed = shown.contains_key(name.as_str());
            if known.listed && !listed {
                // The time until it is forgotten starts here, also for a host
                // that this entry had no reason to call.
                known.last_seen = now;
            }
            known.listed = listed;
        }
        for host in hosts {
            match self.hosts.get_mut(&host.name) {
                Some(known) => known.update(host),
                None => {
                    self.hosts
                        .insert(host.name.clone(), KnownHost::new(now, host));
                }
            }
        }
        ListOutcome::Taken
    }

    /// Records that a host answered at `at` in the given incarnation.
    pub fn note_answer(&mut self, at: Instant, name: &str, incarnation: Incarnation) {
        if let Some(known) = self.hosts.get_mut(name) {
            known.last_seen = known.last_seen.max(at);
            known.incarnation = Some(incarnation);
            // For a host that first answers after the list shows it as draining,
            // it is unknown whether this is its next incarnation already; it
            // counts as the draining one.
            if known.host.leaving && known.draining.is_none() {
                known.draining = Some(incarnation);
            }
        }
    }

    /// Removes hosts that are neither listed nor answer; returns how many.
    pub fn sweep(&mut self, now: Instant) -> usize {
        let before = self.hosts.len();
        let forget_after = self.limits.forget_after;
        self.hosts
            .retain(|_, k| k.listed || now.saturating_duration_since(k.last_seen) < forget_after);
        before - self.hosts.len()
    }

    /// The sidecars that the entry should keep connections to.
    #[must_use]
    pub fn chosen_sidecars(&self) -> Vec<&Host> {
        let entries = self
            .hosts
            .values()
            .filter(|k| k.host.kind == HostKind::Entry);
        let entries: Vec<HostRef> = entries.map(|k| host_ref(&k.host)).collect();
        let me = HostRef {
            name: &self.name,
            zone: &self.zone,
        };

        let mut services: BTreeMap<&str, Vec<&Host>> = BTreeMap::new();
        for known in self.hosts.values() {
            if let HostKind::Sidecar { serves } = &known.host.kind {
                services.entry(serves).or_default().push(&known.host);
            }
        }

        let mut chosen = Vec::new();
        for hosts in services.values() {
            let sidecars: Vec<HostRef> = hosts.iter().map(|h| host_ref(h)).collect();
            let picked = subset::choose(me, &entries, &sidecars, self.limits.subset_size);
            chosen.extend(picked.into_iter().map(|i| hosts[i]));
        }
        chosen
    }

    /// Whether a host is draining or unknown and must not get new work.
    ///
    /// The list may show the state of an earlier incarnation. Once the host
    /// answers in a new one, it is back in service; waiting for the list would
    /// keep it idle for as long as the list lags.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        let Some(known) = self.hosts.get(name) else {
            return true;
        };
        let restarted = known.draining.is_some() && known.draining != known.incarnation;
        known.host.leaving && !restarted
    }

    /// Whether the last list contained a host.
    #[must_use]
    pub fn is_listed(&self, name: &str) -> bool {
        self.hosts.get(name).is_some_and(|k| k.listed)
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

impl KnownHost {
    fn new(now: Instant, host: &Host) -> Self {
        Self {
            host: host.clone(),
            listed: true,
            last_seen: now,
            incarnation: None,
            draining: None,
        }
    }

    fn update(&mut self, host: &Host) {
        match host.leaving {
            true if !self.host.leaving => self.draining = self.incarnation,
            true => {}
            false => self.draining = None,
        }
        if self.host != *host {
            self.host = host.clone();
        }
    }
}

fn host_ref(host: &Host) -> HostRef<'_> {
    HostRef {
        name: &host.name,
        zone: &host.zone,
    }
}
