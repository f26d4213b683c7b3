//! The versions of each service's servers, as the server table tells them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balancer, ServerRecord};
use policy::versions::RECENT;

fn server(id: &str, version: &str) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("llm"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: Some(1),
        version: Rc::from(version),
    }
}

fn versions(balancer: &Balancer, now: Instant) -> Vec<String> {
    let versions = balancer.recent_versions(now, "llm");
    let mut versions: Vec<String> = versions.iter().map(|v| v.to_string()).collect();
    versions.sort();
    versions
}

/// A version is recent from its first server on until some time after its last one.
#[test]
fn versions_outlast_their_servers() {
    let (mut balancer, now) = (Balancer::new("a"), Instant::now());
    balancer.upsert(now, server("one", "v1"));
    balancer.upsert(now, server("two", "v1"));
    balancer.upsert(now, server("three", "v2"));
    assert_eq!(versions(&balancer, now), ["v1", "v2"]);
    for id in ["one", "two"] {
        balancer.mark_missing(now, id, now);
    }
    balancer.forget_missing(now, Duration::ZERO);
    let last = now + RECENT - Duration::from_millis(1);
    assert_eq!(versions(&balancer, last), ["v1", "v2"]);
    assert_eq!(versions(&balancer, now + RECENT), ["v2"]);
}

/// Guards against counting a server under two versions after its record has changed, and
/// under that of a record which is older than the known one.
#[test]
fn changed_record_replaces_version() {
    let (mut balancer, now) = (Balancer::new("a"), Instant::now());
    balancer.upsert(now, server("one", "v1"));
    let restarted = ServerRecord {
        started_ms: Some(2),
        ..server("one", "v2")
    };
    balancer.upsert(now, restarted);
    balancer.upsert(now, server("one", "v1"));
    assert_eq!(versions(&balancer, now), ["v1", "v2"]);
    assert_eq!(versions(&balancer, now + RECENT), ["v2"]);
}
