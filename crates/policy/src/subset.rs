//! Which backend servers one entry keeps connections to.
//!
//! A connection costs memory at both ends, so an entry knows a bounded subset
//! of each service: servers of its own availability zone first, the rest
//! elsewhere in the region. The servers choose their entries by rendezvous
//! hash, not the entries their servers: so each server of a zone is covered by
//! the same number of entries, give or take one, and when a host leaves only
//! the connections that it had move. See docs/DECISIONS/0401-membership.md.

/// How large a subset is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubsetSize {
    /// Servers of one service that an entry knows, as a mean over the entries.
    pub total: usize,
    /// How many of these stand in other availability zones, at the least.
    pub other_zones: usize,
}

/// A host as the choice sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRef<'a> {
    /// The daemon's name.
    pub name: &'a str,
    /// The availability zone that the host stands in.
    pub zone: &'a str,
}

/// Chooses among `servers` of one service for the entry `me`; `entries` are
/// all entries of the region. Returns places in `servers`.
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

    // An entry that the lagging list does not show yet counts itself.
    let mine = hash(me.name);
    let peers = entries.iter().filter(|e| e.zone == me.zone);
    let peers = peers.filter(|e| e.name != me.name).map(|e| hash(e.name));
    let peers: Vec<u64> = peers.collect();

    let shares = Shares::new(me, servers, size, peers.len() + 1);
    let covers = |server: &HostRef| {
        let key = hash(server.name);
        let score = pair(mine, key);
        let ahead = peers.iter().filter(|p| pair(**p, key) > score).count();
        ahead < shares.entries_of(server.zone == me.zone, key)
    };
    let chosen = servers.iter().enumerate().filter(|(_, s)| covers(s));
    chosen.map(|(place, _)| place).collect()
}

/// How many entries of one availability zone each server gets.
struct Shares {
    /// For a server of the same zone.
    near: f64,
    /// For a server of another zone.
    far: f64,
}

impl Shares {
    fn new(me: HostRef, servers: &[HostRef], size: SubsetSize, entries: usize) -> Self {
        let near_servers = servers.iter().filter(|s| s.zone == me.zone).count();
        let near = near_servers.min(size.total.saturating_sub(size.other_zones));
        let far = size.total - near;
        let share = |wanted: usize, of: usize| match of {
            0 => 0.0,
            _ => entries as f64 * wanted as f64 / of as f64,
        };
        Self {
            near: share(near, near_servers),
            far: share(far, servers.len() - near_servers),
        }
    }

    /// The share as a whole number of entries. A fraction goes to that
    /// fraction of the servers, drawn by their hash.
    fn entries_of(&self, near: bool, key: u64) -> usize {
        let share = if near { self.near } else { self.far };
        let drawn = pair(key, 0) as f64 / u64::MAX as f64;
        let extra = usize::from(drawn < share.fract());
        share.trunc() as usize + extra
    }
}

fn hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

/// The rendezvous score of an entry and a server.
fn pair(entry: u64, server: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&entry.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    rapidhash::v3::rapidhash_v3(&bytes)
}
