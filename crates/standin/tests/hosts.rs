//! Client of the host list, tested against the stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use base::settings::HumanDuration;
use base::stop::StopSignal;
use clients::hosts::{Error, Host, HostStatus, HostsClient, Role};
use rstest::rstest;
use standin::hosts::{Faults, Registry, Settings, run};

/// Returns an unused loopback address. Its IP address depends on the process id,
/// and its port is below the range for outgoing connections.
fn free_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(7100);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, a.max(1), b, 2), port).into()
}

fn host(name: &str, region: &str) -> Host {
    Host {
        name: name.to_owned(),
        addr: free_addr(),
        zone: "plateau".to_owned(),
        region: region.to_owned(),
        role: Role::Sidecar,
        serves: "dossier-8b".to_owned(),
        status: HostStatus::Live,
    }
}

async fn start_list() -> (Registry, HostsClient) {
    let registry = Registry::new(vec![host("a", "dakar"), host("far", "thies")]);
    let settings = Settings {
        listen: free_addr(),
        hosts: Vec::new(),
        faults: Faults::default(),
    };
    let hosts = HostsClient::new(settings.listen, "dakar");
    actix_rt::spawn(run(settings, registry.clone(), StopSignal::new()));
    while hosts.read().await.is_err() {
        tokio::task::yield_now().await;
    }
    let client = HostsClient::new(hosts.addr(), "dakar");
    (registry, client)
}

fn names(list: Option<Vec<Host>>) -> Option<Vec<String>> {
    list.map(|hosts| hosts.into_iter().map(|h| h.name).collect())
}

#[actix_rt::test]
async fn read_returns_own_region() {
    let (registry, hosts) = start_list().await;
    assert_eq!(names(hosts.read().await.unwrap()), Some(vec!["a".into()]));
    assert_eq!(names(hosts.read().await.unwrap()), None);

    registry.put(host("b", "dakar"));
    let now = names(hosts.read().await.unwrap());
    assert_eq!(now, Some(vec!["a".into(), "b".into()]));

    registry.remove("a");
    registry.mark_leaving("b");
    let left = hosts.read().await.unwrap().unwrap();
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].status, HostStatus::Leaving);
}

#[rstest]
#[case::lag(Faults { lag: HumanDuration::secs(30), ..Faults::default() }, None)]
#[case::frozen(Faults { frozen: true, ..Faults::default() }, None)]
#[case::empty(Faults { empty: true, ..Faults::default() }, Some(vec![]))]
#[actix_rt::test]
async fn read_during_fault(#[case] faults: Faults, #[case] expected: Option<Vec<String>>) {
    let (registry, hosts) = start_list().await;
    hosts.read().await.unwrap();
    registry.control.change(|f| *f = faults);
    registry.put(host("b", "dakar"));
    assert_eq!(names(hosts.read().await.unwrap()), expected);

    // The change becomes visible when the fault ends.
    registry.control.change(|f| *f = Faults::default());
    let now = names(hosts.read().await.unwrap());
    assert_eq!(now, Some(vec!["a".into(), "b".into()]));
}

#[actix_rt::test]
async fn read_fails_in_outage() {
    let (registry, hosts) = start_list().await;
    registry.control.change(|f| f.outage = true);
    let result = hosts.read().await;
    assert!(matches!(result, Err(Error::Refused { status: 503, .. })));
}
