//! Two sidecars beside one engine, with the log, the weight store and engines
//! that check fencing numbers or ignore them.

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
use sidecar::orders::{Keeper, Round, Settings};
use standin::log::Faults as LogFaults;
use standin::weights::WeightStore;
use standin::{FaultControl, orders, weights};

const PATIENCE: Duration = Duration::from_secs(20);

/// Short, so that a test can wait for it to lapse.
const LEASE: HumanDuration = HumanDuration::ms(300);

/// An address that nobody else has: a part of loopback for each process, and
/// below the ports that the system gives to outgoing connections.
fn free() -> SocketAddr {
    static PORTS: AtomicU16 = AtomicU16::new(7100);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, a.max(1), b, 2), port).into()
}

/// The platform around one engine.
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
            engine: free(),
            log: free(),
            store: free(),
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

    fn keeper(&self, holder: &str) -> Keeper {
        self.keeper_with(holder, Some(self.store), LEASE)
    }

    /// A keeper that needs no permits and whose lease outlasts the test.
    fn keeper_without(&self, holder: &str) -> Keeper {
        self.keeper_with(holder, None, HumanDuration::secs(600))
    }

    fn keeper_with(
        &self,
        holder: &str,
        weights: Option<SocketAddr>,
        lease: HumanDuration,
    ) -> Keeper {
        let settings = Settings {
            addr: self.engine,
            log: self.log,
            weights,
            server: "engine-0".to_owned(),
            model: "dossier-8b".to_owned(),
            lease,
            every: HumanDuration::ms(10),
            wait: HumanDuration::secs(10),
        };
        Keeper::new(settings, holder.to_owned(), Rc::new(SystemClock))
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

/// Takes rounds until one comes to `wanted`.
async fn rounds(keeper: &mut Keeper, version: &str, wanted: Round) {
    let began = Instant::now();
    while keeper.round(&loaded(version)).await != wanted {
        assert!(began.elapsed() < PATIENCE, "no round comes to {wanted:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn round_loads_and_rests() {
    let platform = Platform::start(true, HumanDuration::ms(1));
    let mut keeper = platform.keeper("a");
    rounds(&mut keeper, "v1", Round::Given).await;
    rounds(&mut keeper, "v1", Round::Idle).await;
    assert_eq!(platform.versions(), ["v1"]);
    assert_eq!(platform.weights.granted(), ["v1"]);
}

// A sidecar's host is replaced while the old one still runs. The engine is
// ordered by one of them at a time: the new one waits until the old lease has
// lapsed by the log's clock, and then takes over.
#[actix_rt::test]
async fn round_after_lapse() {
    let platform = Platform::start(true, HumanDuration::ms(1));
    let (mut old, mut new) = (platform.keeper("old"), platform.keeper("new"));
    rounds(&mut old, "v1", Round::Given).await;
    assert_eq!(new.round(&loaded("v2")).await, Round::NotHolder);
    rounds(&mut new, "v2", Round::Given).await;
    assert_eq!(platform.versions(), ["v1", "v2"]);

    // Numbers only grow.
    let fences: Vec<Offset> = platform.record.accepted().iter().map(|(f, _)| *f).collect();
    assert!(fences.is_sorted(), "{fences:?}");
}

// A sidecar holds the lease and waits for the weight store for longer than
// the lease lasts; meanwhile another one takes over and orders a newer
// version. The first comes back and gives no order, also where the engine
// ignores fencing numbers: the new version stays.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[actix_rt::test]
async fn round_outlasts_lease(#[case] checks: bool) {
    let platform = Platform::start(checks, HumanDuration::ms(1));
    let (mut old, mut new) = (platform.keeper("old"), platform.keeper_without("new"));
    rounds(&mut old, "v0", Round::Given).await;
    rounds(&mut old, "v0", Round::Idle).await;

    platform.weights.control.change(|f| f.outage = true);
    let paused = actix_rt::spawn(async move { old.round(&loaded("v1")).await });
    rounds(&mut new, "v2", Round::Given).await;
    platform.weights.control.change(|f| f.outage = false);

    assert_eq!(paused.await.unwrap(), Round::NotHolder);
    assert_eq!(platform.versions(), ["v0", "v2"]);
}

// An order with an old number reaches the engine after a newer one. An engine
// that checks refuses it; one that ignores the number takes it, which is why
// a sidecar must not rely on the engine.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[actix_rt::test]
async fn give_old_number(#[case] checks: bool) {
    let platform = Platform::start(checks, HumanDuration::ms(1));
    let mut keeper = platform.keeper("a");
    rounds(&mut keeper, "v1", Round::Given).await;

    let client = OrdersClient::new(platform.engine);
    let order = |v: &str| Order::LoadVersion(v.to_owned());
    client.send(&order("v2"), Offset(90)).await.unwrap();
    let old = client.send(&order("v1"), Offset(89)).await;
    match checks {
        true => assert!(matches!(old, Err(Error::StaleFence { .. })), "{old:?}"),
        false => assert!(old.is_ok(), "{old:?}"),
    }
}

// The log is down when an order is due. No order is given without a lease;
// once the log is back, it is.
#[actix_rt::test]
async fn round_log_down() {
    let platform = Platform::start(true, HumanDuration::ms(1));
    let mut keeper = platform.keeper("a");
    rounds(&mut keeper, "v1", Round::Given).await;
    rounds(&mut keeper, "v1", Round::Idle).await;

    platform.faults.change(|f| f.down = true);
    tokio::time::sleep(LEASE.0).await;
    assert_eq!(keeper.round(&loaded("v2")).await, Round::Failed);
    assert_eq!(platform.versions(), ["v1"]);
    platform.faults.change(|f| f.down = false);
    rounds(&mut keeper, "v2", Round::Given).await;
}

// A new version is rolled out: eight sidecars ask the weight store at once,
// which gives one permit every 30 ms and then goes out for a while. Each gets
// exactly one permit in the end, and its engine one order.
#[actix_rt::test]
async fn permits_shared() {
    let first = Platform::start(true, HumanDuration::ms(30));
    let others = (1..8).map(|_| Platform::start(true, HumanDuration::ms(30)));
    let engines: Vec<Platform> = std::iter::once(first).chain(others).collect();
    let store = engines[0].store;
    engines[0].weights.control.change(|f| f.outage = true);

    let keepers = engines.iter().enumerate().map(|(i, platform)| {
        let mut keeper =
            platform.keeper_with(&format!("k{i}"), Some(store), HumanDuration::secs(600));
        actix_rt::spawn(async move { rounds(&mut keeper, "v1", Round::Given).await })
    });
    let keepers: Vec<_> = keepers.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    engines[0].weights.control.change(|f| f.outage = false);
    for keeper in keepers {
        keeper.await.unwrap();
    }
    assert_eq!(engines[0].weights.granted(), ["v1"; 8]);
    assert!(engines.iter().all(|e| e.versions() == ["v1"]));
}
