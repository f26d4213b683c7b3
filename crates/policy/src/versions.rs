//! The software versions of each service's servers, now and recently.
//!
//! - [`records`]: the versions as all entries record them in the platform's store.

pub mod records;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use records::KnownVersion;

/// Time for which a version counts as recent after its last server was removed. No stream
/// that such a server began is taken up later.
pub const RECENT: Duration = Duration::from_secs(120);

/// The number that stands for a version in messages between entries.
#[must_use]
pub fn version_number(version: &str) -> u32 {
    crate::rendezvous::hash_name(version) as u32
}

/// Known versions of each service.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<Rc<str>, Vec<Known>>,
}

/// A version of one service.
#[derive(Debug)]
struct Known {
    version: Rc<str>,
    /// Servers of this version that are known now.
    servers: usize,
    /// When the last one was removed, if none is known.
    ended_at: Option<Instant>,
}

impl VersionHistory {
    /// Records that a server has become known.
    pub fn server_added(&mut self, service: &Rc<str>, version: &Rc<str>) {
        let versions = self.services.entry(Rc::clone(service)).or_default();
        match versions.iter_mut().find(|v| v.version == *version) {
            Some(known) => {
                known.servers += 1;
                known.ended_at = None;
            }
            None => versions.push(Known {
                version: Rc::clone(version),
                servers: 1,
                ended_at: None,
            }),
        }
    }

    /// Records that a server is not known any more.
    pub fn server_removed(&mut self, now: Instant, service: &str, version: &str) {
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        if let Some(known) = versions.iter_mut().find(|v| &*v.version == version) {
            known.servers = known.servers.saturating_sub(1);
            if known.servers == 0 {
                known.ended_at = Some(now);
            }
        }
        versions.retain(|v| v.is_recent(now));
        if versions.is_empty() {
            self.services.remove(service);
        }
    }

    /// The versions of a service that have or recently had servers.
    pub fn recent(&self, now: Instant, service: &str) -> impl Iterator<Item = &Rc<str>> {
        let versions = self.services.get(service).into_iter().flatten();
        versions
            .filter(move |v| v.is_recent(now))
            .map(|v| &v.version)
    }

    /// All versions that have or recently had servers.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<KnownVersion<'_>> {
        let versions = self.services.iter();
        let versions =
            versions.flat_map(|(service, known)| known.iter().map(move |v| (service, v)));
        let recent = versions.filter(|(_, v)| v.is_recent(now));
        recent
            .map(|(service, v)| KnownVersion {
                service,
                version: &v.version,
                listed: v.ended_at.is_none(),
            })
            .collect()
    }

    /// The services of which any server is or was known.
    pub fn services(&self) -> impl Iterator<Item = &Rc<str>> {
        self.services.keys()
    }
}

impl Known {
    fn is_recent(&self, now: Instant) -> bool {
        self.ended_at.is_none_or(|at| now < at + RECENT)
    }
}
