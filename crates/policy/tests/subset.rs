//! How evenly subsets cover the servers, and how few connections move.

use std::collections::{BTreeMap, BTreeSet};

use policy::subset::{HostRef, SubsetSize, choose};
use rstest::rstest;

const ZONES: [&str; 3] = ["plateau", "almadies", "rufisque"];

/// Names of hosts with their zones, assigned round robin.
fn hosts(kind: &str, count: usize) -> Vec<(String, &'static str)> {
    let host = |i| (format!("{kind}-{i}"), ZONES[i % ZONES.len()]);
    (0..count).map(host).collect()
}

fn host_refs<'a>(hosts: &'a [(String, &'static str)]) -> Vec<HostRef<'a>> {
    let host_ref = |(name, zone): &'a (String, &'static str)| HostRef { name, zone };
    hosts.iter().map(host_ref).collect()
}

/// The servers in the subset of each entry.
fn subsets<'a>(
    entries: &[HostRef<'a>],
    servers: &[HostRef<'a>],
    size: SubsetSize,
) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let known = |me: &HostRef<'a>| {
        let chosen = choose(*me, entries, servers, size);
        (me.name, chosen.iter().map(|i| servers[*i].name).collect())
    };
    entries.iter().map(known).collect()
}

/// How many entries cover each server.
fn coverage(subsets: &BTreeMap<&str, BTreeSet<&str>>, servers: &[HostRef]) -> Vec<usize> {
    let count = |s: &HostRef| subsets.values().filter(|k| k.contains(s.name)).count();
    servers.iter().map(count).collect()
}

#[rstest]
#[case::small_fleet(2, 18)]
#[case::exactly_the_size(60, 128)]
fn choose_all_of_few_servers(#[case] entries: usize, #[case] servers: usize) {
    let (entries, servers) = (hosts("entry", entries), hosts("sidecar", servers));
    let size = SubsetSize {
        total: 128,
        other_zones: 16,
    };
    for known in subsets(&host_refs(&entries), &host_refs(&servers), size).values() {
        assert_eq!(known.len(), servers.len());
    }
}

// One region at design size: 180 entries, and services of 400 to 1,250 servers.
// The coverage of each server must be within a few entries of the mean, or the
// least covered server is idle while requests queue at others.
#[rstest]
#[case::region(180, 1250, 128, 16)]
#[case::one_service(180, 400, 128, 16)]
#[case::small_subset(180, 1250, 24, 4)]
fn choose_evenly(
    #[case] entries: usize,
    #[case] servers: usize,
    #[case] total: usize,
    #[case] other_zones: usize,
) {
    let (entries, servers) = (hosts("entry", entries), hosts("sidecar", servers));
    let (entries, servers) = (host_refs(&entries), host_refs(&servers));
    let subsets = subsets(&entries, &servers, SubsetSize { total, other_zones });

    // Coverage is rounded up or down once for each of the three zones.
    let coverage = coverage(&subsets, &servers);
    let (min, max) = (
        coverage.iter().min().unwrap(),
        coverage.iter().max().unwrap(),
    );
    assert!(max - min <= 3, "covered by {min} to {max} entries");
    assert!(*min >= 1);

    // The size of an entry's subset varies randomly around the mean.
    let sizes: Vec<usize> = subsets.values().map(BTreeSet::len).collect();
    let mean = sizes.iter().sum::<usize>() as f64 / sizes.len() as f64;
    assert!((mean / total as f64 - 1.0).abs() < 0.02, "mean {mean}");
    assert!(*sizes.iter().max().unwrap() < total * 2);
}

#[test]
fn choose_own_zone_first() {
    let (entries, servers) = (hosts("entry", 60), hosts("sidecar", 1200));
    let (entries, servers) = (host_refs(&entries), host_refs(&servers));
    let size = SubsetSize {
        total: 128,
        other_zones: 16,
    };

    let chosen = choose(entries[0], &entries, &servers, size);
    let near = chosen.iter().filter(|i| servers[**i].zone == "plateau");
    let near = near.count();
    assert!(
        near > 80 && near < chosen.len(),
        "{near} of {}",
        chosen.len()
    );
}

// One server of 1,250 leaves: only its connections are replaced by others. A
// choice by position in a sorted list would move nearly all connections.
#[test]
fn choose_server_leaves() {
    let (entries, servers) = (hosts("entry", 180), hosts("sidecar", 1250));
    let (entries, servers) = (host_refs(&entries), host_refs(&servers));
    let size = SubsetSize {
        total: 128,
        other_zones: 16,
    };

    let before = subsets(&entries, &servers, size);
    let fewer: Vec<HostRef> = servers
        .iter()
        .copied()
        .filter(|s| s.name != "sidecar-7")
        .collect();
    let after = subsets(&entries, &fewer, size);

    let had = before.values().filter(|k| k.contains("sidecar-7")).count();
    let lost: usize = before
        .iter()
        .map(|(e, k)| k.difference(&after[e]).count())
        .sum();
    let new: usize = before
        .iter()
        .map(|(e, k)| after[e].difference(k).count())
        .sum();
    assert_eq!(lost, had, "no other connection closes");
    assert!(new <= had * 2, "{new} new connections for {had}");
}

// One entry of 180 leaves: other entries cover its servers, and each of the
// remaining entries changes a few of its 128 connections.
#[test]
fn choose_entry_leaves() {
    let (entries, servers) = (hosts("entry", 180), hosts("sidecar", 1250));
    let (entries, servers) = (host_refs(&entries), host_refs(&servers));
    let size = SubsetSize {
        total: 128,
        other_zones: 16,
    };

    let before = subsets(&entries, &servers, size);
    let after = subsets(&entries[1..], &servers, size);
    for (entry, known) in &after {
        let moved = known.symmetric_difference(&before[entry]).count();
        assert!(moved <= 16, "{entry} changes {moved} of {}", known.len());
    }
}
