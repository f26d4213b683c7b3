//! Which backend servers one entry keeps connections to.
//!
//! A connection costs memory at both ends, so an entry knows a bounded subset
//! of each service: servers of its own availability zone first, the rest from
//! other zones of the region. Each server is assigned the entries with the
//! highest rendezvous scores, rather than each entry its servers. Thus each
//! server of a zone is covered by the same number of entries, plus or minus one,
//! and when a host leaves, only its own connections move. See docs/DECISIONS/0401-membership.md.

/// The size of a subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSize {
    /// Servers of one service that an entry knows, averaged over the entries.
    pub total: usize,
    /// The least number of these that are in other availability zones.
    pub other_zones: usize,
}

/// What the choice of a subset depends on for one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRef<'a> {
    /// The daemon's name.
    pub name: &'a str,
    /// The availability zone of the host.
    pub zone: &'a str,
}

/// Chooses the subset of the `servers` of one service for the entry `me`;
/// `entries` are all entries of the region. Returns indices into `servers`.
#[must_use]
pub fn choose(
    me: HostRef,
    entries: &[HostRef],
    servers: &[HostRef],
    size: SubsetSize,
) -> Vec<usize> {
    if servers.len() <= size.total {
        return (0..servers.len()).collect();
    }

    // The list may lag and not contain this entry yet, so that it is counted
    // separately.
    let own_hash = hash(me.name);
    let peers = entries.iter().filter(|e| e.zone == me.zone);
    let peers = peers.filter(|e| e.name != me.name).map(|e| hash(e.name));
    let peers: Vec<u64> = peers.collect();

    let coverage = Coverage::new(me, servers, size, peers.len() + 1);
    let covers = |server: &HostRef| {
        let key = hash(server.name);
        let own_score = score(own_hash, key);
        let ahead = peers.iter().filter(|p| score(**p, key) > own_score).count();
        ahead < coverage.entries_of(server.zone == me.zone, key)
    };
    let chosen = servers.iter().enumerate().filter(|(_, s)| covers(s));
    chosen.map(|(index, _)| index).collect()
}

/// How many entries of one availability zone cover each server.
struct Coverage {
    /// For a server in the same zone.
    same_zone: f64,
    /// For a server in another zone.
    other_zones: f64,
}

impl Coverage {
    fn new(me: HostRef, servers: &[HostRef], size: SubsetSize, entries: usize) -> Self {
        let zone_servers = servers.iter().filter(|s| s.zone == me.zone).count();
        let same_zone = zone_servers.min(size.total.saturating_sub(size.other_zones));
        let other_zones = size.total - same_zone;
        let coverage = |wanted: usize, servers: usize| match servers {
            0 => 0.0,
            _ => entries as f64 * wanted as f64 / servers as f64,
        };
        Self {
            same_zone: coverage(same_zone, zone_servers),
            other_zones: coverage(other_zones, servers.len() - zone_servers),
        }
    }

    /// The coverage of one server as a whole number of entries. The fractional
    /// part is rounded up for that fraction of the servers, selected by hash.
    fn entries_of(&self, same_zone: bool, key: u64) -> usize {
        let mean = if same_zone {
            self.same_zone
        } else {
            self.other_zones
        };
        let fraction = score(key, 0) as f64 / u64::MAX as f64;
        let extra = usize::from(fraction < mean.fract());
        mean.trunc() as usize + extra
    }
}

fn hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

/// The rendezvous score of an entry and a server.
fn score(entry: u64, server: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&entry.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
