//! A stand-in for the log on loopback, operators and followers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr};
use base::clock::SystemClock;
use base::ids::Offset;
use base::logging::{self, Level};
use base::settings::HumanDuration;
use base::stop::StopSignal;
use bundle::{Content, Operators, SecretKey};
use clients::log::{LogClient, Page};
use follow::{BundleState, Follower, Publisher, STREAM, Settings};
use serde_json::json;
use standin::FaultControl;
use standin::log::Faults;
use tokio::net::TcpListener;

/// Maximum number of checks of a condition, and the pause between them.
const TRIES: u32 = 2000;
const PAUSE: Duration = Duration::from_millis(5);

/// A running stand-in for the log.
pub(crate) struct TestLog {
    pub(crate) addr: SocketAddr,
    pub(crate) faults: FaultControl<Faults>,
    pub(crate) log: LogClient,
}

/// A daemon's follower and its bundle state.
pub(crate) struct Daemon {
    pub(crate) held: Rc<BundleState>,
    pub(crate) follower: Addr<Follower>,
}

/// Runs a test on a single-threaded runtime, as daemons use.
pub(crate) fn run(test: impl AsyncFnOnce(TestLog)) {
    logging::init(Level::Off);
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("bind to a free port");
        let addr = listener.local_addr().expect("local address");
        let faults = FaultControl::new(Faults::default());
        actix_rt::spawn(standin::log::serve(
            listener,
            faults.clone(),
            StopSignal::new(),
        ));
        let log = LogClient::new(addr);
        test(TestLog { addr, faults, log }).await;
    });
}

impl TestLog {
    /// Starts the follower of a daemon.
    pub(crate) fn daemon(&self) -> Daemon {
        let mut settings = Settings::new(self.addr, trust());
        settings.poll_timeout = HumanDuration::ms(50);
        settings.max_backoff = HumanDuration::ms(50);
        settings.checkpoint_delay = HumanDuration::ms(50);
        let held = BundleState::new(trust());
        let follower = Follower::new(settings, Rc::clone(&held), Rc::new(SystemClock)).start();
        Daemon { held, follower }
    }

    /// Creates a publisher that has read the log.
    pub(crate) async fn publisher(&self) -> Publisher {
        let mut publisher = Publisher::new(self.log.clone(), trust());
        publisher.read_to_end().await.expect("the log replies");
        publisher
    }

    /// Reads all records of the log.
    pub(crate) async fn page(&self) -> Page {
        let read = self.log.read(STREAM, Offset(0), 10_000, Duration::ZERO);
        read.await.expect("the log replies")
    }

    pub(crate) fn down(&self, down: bool) {
        self.faults.change(|f| f.down = down);
    }
}

pub(crate) fn awa() -> SecretKey {
    SecretKey::from_secret("awa", &[1; 32])
}

pub(crate) fn luz() -> SecretKey {
    SecretKey::from_secret("luz", &[2; 32])
}

pub(crate) fn trust() -> Operators {
    [awa(), luz()]
        .into_iter()
        .map(|k| (k.operator, k.public_key))
        .collect()
}

/// Content with one model named `model`.
pub(crate) fn content(model: &str) -> Content {
    let json = json!({
        "classes": {},
        "workspaces": {},
        "models": { model: {} },
        "operators": trust(),
    });
    Content::from_json(&json).expect("valid content")
}

/// Whether a daemon's active bundle contains the given model.
pub(crate) fn is_active(daemon: &Daemon, model: &str) -> bool {
    let bundle = daemon.held.bundle();
    bundle.is_some_and(|b| b.models.contains_key(model))
}

/// Waits for a condition. The limit of 10 s allows for slow machines.
pub(crate) async fn wait_until(what: &str, mut met: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if met() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("timed out waiting until {what}");
}

/// Waits for a condition on the log's records.
pub(crate) async fn wait_until_log(world: &TestLog, what: &str, met: impl Fn(&Page) -> bool) {
    let last = RefCell::new(Page::default());
    for _ in 0..TRIES {
        *last.borrow_mut() = world.page().await;
        if met(&last.borrow()) {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!(
        "timed out waiting until {what}; first={}",
        last.borrow().first_offset
    );
}
