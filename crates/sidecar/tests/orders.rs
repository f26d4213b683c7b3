//! Tests two sidecars that reconcile one engine, with the log, the weight store
//! and engines that check or ignore fencing tokens.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use base::clock::SystemClock;
use base::ids::Offset;
use base::settings::HumanDuration;
use base::stop::StopSignal;
use clients::orders::{Error, Order, OrdersClient};
use policy::loading::LoadedModel;
use rstest::rstest;
use sidecar::orders::{LoadReconciler, ReconcileOutcome, Settings};
use standin::log::Faults as LogFaults;
use standin::weights::WeightStore;
use standin::{FaultControl, orders, weights};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Short, so that tests can wait until it expires.
const LEASE: HumanDuration = HumanDuration::ms(300);

/// Returns an unused address: each process has its own part of the loopback
/// network, and the ports are below the system's ephemeral range.
fn unused_addr() -> SocketAddr {
    static PORTS: AtomicU16 = AtomicU16::new(7100);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, a.max(1), b, 2), port).into()
}

/// One engine with the platform's log and weight store.
struct Platform {
    engine: SocketAddr,
    log: SocketAddr,
    store: SocketAddr,
    record: orders::OrderState,
    faults: FaultControl<LogFaults>,
    weights: WeightStore,
}

impl Platform {
    fn start(checks_fencing: bool, permit_interval: HumanDuration) -> Self {
        let platform = Self {
            engine: unused_addr(),
            log: unused_addr(),
            store: unused_addr(),
            record: orders::OrderState::default(),
            faults: FaultControl::new(LogFaults::default()),
            weights: WeightStore::default(),
        };
        let settings = orders::Settings {
            listen: platform.engine,
            checks_fencing,
            load_time: HumanDuration::ms(0),
        };
        actix_rt::spawn(orders::run(
            settings,
            platform.record.clone(),
            StopSignal::new(),
        ));
        let settings = weights::Settings {
            listen: platform.store,
            permit_interval,
            faults: weights::Faults::default(),
        };
        actix_rt::spawn(weights::run(
            settings,
            platform.weights.clone(),
            StopSignal::new(),
        ));
        let settings = standin::log::Settings {
            listen: platform.log,
            faults: LogFaults::default(),
        };
        let faults = platform.faults.clone();
        actix_rt::spawn(standin::log::run(settings, faults, StopSignal::new()));
        platform
    }

    fn reconciler(&self, holder: &str) -> LoadReconciler {
        self.reconciler_with(holder, Some(self.store), LEASE)
    }

    /// A reconciler that needs no permits and whose lease outlasts the test.
    fn reconciler_without_permits(&self, holder: &str) -> LoadReconciler {
        self.reconciler_with(holder, None, HumanDuration::secs(600))
    }

    fn reconciler_with(
        &self,
        holder: &str,
        weight_store: Option<SocketAddr>,
        lease: HumanDuration,
    ) -> LoadReconciler {
        let settings = Settings {
            addr: self.engine,
            log: self.log,
            weight_store,
            server: "engine-0".to_owned(),
            model: "dossier-8b".to_owned(),
            lease,
            check_interval: HumanDuration::ms(10),
            permit_timeout: HumanDuration::secs(10),
        };
        LoadReconciler::new(settings, holder.to_owned(), Rc::new(SystemClock))
    }

    fn versions(&self) -> Vec<String> {
        let version = |(_, order)| match order {
            Order::LoadVersion(version) => Some(version),
            _ => None,
        };
        self.record
            .accepted()
            .into_iter()
            .filter_map(version)
            .collect()
    }
}

fn loaded(version: &str) -> LoadedModel {
    LoadedModel {
        version: version.to_owned(),
        ..LoadedModel::default()
    }
}

/// Reconciles until the outcome is `expected`.
async fn reconcile_until(
    reconciler: &mut LoadReconciler,
    version: &str,
    expected: ReconcileOutcome,
) {
    let started_at = Instant::now();
    while reconciler.reconcile(&loaded(version)).await != expected {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no reconciliation results in {expected:?}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn reconcile_loads_then_idles() {
    let platform = Platform::start(true, HumanDuration::ms(1));
    let mut reconciler = platform.reconciler("a");
    reconcile_until(&mut reconciler, "v1", ReconcileOutcome::OrderSent).await;
    reconcile_until(&mut reconciler, "v1", ReconcileOutcome::Idle).await;
    assert_eq!(platform.versions(), ["v1"]);
    assert_eq!(platform.weights.granted(), ["v1"]);
}

// A sidecar is replaced while the old one still runs. Only one of them gives
// orders at a time: the new one takes over after the old lease has expired by the
// log's clock.
#[actix_rt::test]
async fn reconcile_after_lease_expired() {
    let platform = Platform::start(true, HumanDuration::ms(1));
    let (mut old, mut new) = (platform.reconciler("old"), platform.reconciler("new"));
    reconcile_until(&mut old, "v1", ReconcileOutcome::OrderSent).await;
    assert_eq!(
        new.reconcile(&loaded("v2")).await,
        ReconcileOutcome::NotHolder
    );
    reconcile_until(&mut new, "v2", ReconcileOutcome::OrderSent).await;
    assert_eq!(platform.versions(), ["v1", "v2"]);

    // Fencing tokens never decrease.
    let fencing_tokens: Vec<Offset> = platform.record.accepted().iter().map(|(f, _)| *f).collect();
    assert!(fencing_tokens.is_sorted(), "{fencing_tokens:?}");
}

// A sidecar waits for a permit for longer than its lease lasts, and meanwhile
// another one takes over and orders a newer version. The first must give no
// order after its wait, even if the engine ignores fencing tokens.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[actix_rt::test]
async fn permit_wait_outlasts_lease(#[case] checks: bool) {
    let platform = Platform::start(checks, HumanDuration::ms(1));
    let (mut old, mut new) = (
        platform.reconciler("old"),
        platform.reconciler_without_permits("new"),
    );
    reconcile_until(&mut old, "v0", ReconcileOutcome::OrderSent).await;
    reconcile_until(&mut old, "v0", ReconcileOutcome::Idle).await;

    platform.weights.control.change(|f| f.outage = true);
    let delayed = actix_rt::spawn(async move { old.reconcile(&loaded("v1")).await });
    reconcile_until(&mut new, "v2", ReconcileOutcome::OrderSent).await;
    platform.weights.control.change(|f| f.outage = false);

    assert_eq!(delayed.await.unwrap(), ReconcileOutcome::NotHolder);
    assert_eq!(platform.versions(), ["v0", "v2"]);
}

// An order with an old fencing token arrives after a newer one. An engine that
// checks tokens refuses it; one that ignores them accepts it, which is why the
// sidecar must not rely on the engine.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[actix_rt::test]
async fn order_with_old_fencing_token(#[case] checks: bool) {
    let platform = Platform::start(checks, HumanDuration::ms(1));
    let mut reconciler = platform.reconciler("a");
    reconcile_until(&mut reconciler, "v1", ReconcileOutcome::OrderSent).await;

    let client = OrdersClient::new(platform.engine);
    let order = |v: &str| Order::LoadVersion(v.to_owned());
    client.send(&order("v2"), Offset(90)).await.unwrap();
    let old = client.send(&order("v1"), Offset(89)).await;
    match checks {
        true => assert!(matches!(old, Err(Error::StaleFence { .. })), "{old:?}"),
        false => assert!(old.is_ok(), "{old:?}"),
    }
}

// While the log is down, the lease cannot be renewed and no order is given. Once
// the log is back, the order is given.
#[actix_rt::test]
async fn reconcile_log_down() {
    let platform = Platform::start(true, HumanDuration::ms(1));
    let mut reconciler = platform.reconciler("a");
    reconcile_until(&mut reconciler, "v1", ReconcileOutcome::OrderSent).await;
    reconcile_until(&mut reconciler, "v1", ReconcileOutcome::Idle).await;

    platform.faults.change(|f| f.down = true);
    tokio::time::sleep(LEASE.0).await;
    assert_eq!(
        reconciler.reconcile(&loaded("v2")).await,
        ReconcileOutcome::Failed
    );
    assert_eq!(platform.versions(), ["v1"]);
    platform.faults.change(|f| f.down = false);
    reconcile_until(&mut reconciler, "v2", ReconcileOutcome::OrderSent).await;
}

// Eight sidecars request permits for a new version at once, from a weight store
// that is down at first and then grants one permit every 30 ms. Each gets exactly
// one permit, and its engine one order.
#[actix_rt::test]
async fn permits_shared() {
    let first = Platform::start(true, HumanDuration::ms(30));
    let others = (1..8).map(|_| Platform::start(true, HumanDuration::ms(30)));
    let engines: Vec<Platform> = std::iter::once(first).chain(others).collect();
    let store = engines[0].store;
    engines[0].weights.control.change(|f| f.outage = true);

    let reconcilers = engines.iter().enumerate().map(|(i, platform)| {
        let mut reconciler =
            platform.reconciler_with(&format!("k{i}"), Some(store), HumanDuration::secs(600));
        actix_rt::spawn(async move {
            reconcile_until(&mut reconciler, "v1", ReconcileOutcome::OrderSent).await
        })
    });
    let reconcilers: Vec<_> = reconcilers.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    engines[0].weights.control.change(|f| f.outage = false);
    for reconciler in reconcilers {
        reconciler.await.unwrap();
    }
    assert_eq!(engines[0].weights.granted(), ["v1"; 8]);
    assert!(engines.iter().all(|e| e.versions() == ["v1"]));
}
