//! A log on loopback, operators and followers for the tests.

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

/// How often a condition is looked at, and the pause between.
const TRIES: u32 = 2000;
const PAUSE: Duration = Duration::from_millis(5);

/// A log that runs, and those who may publish there.
pub(crate) struct World {
    pub(crate) addr: SocketAddr,
    pub(crate) faults: FaultControl<Faults>,
    pub(crate) log: LogClient,
}

/// One daemon's follower.
pub(crate) struct Daemon {
    pub(crate) held: Rc<BundleState>,
    pub(crate) follower: Addr<Follower>,
}

/// Runs a test on a thread like a daemon's.
pub(crate) fn run(test: impl AsyncFnOnce(World)) {
    logging::init(Level::Off);
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let faults = FaultControl::new(Faults::default());
        actix_rt::spawn(standin::log::serve(
            listener,
            faults.clone(),
            StopSignal::new(),
        ));
        let log = LogClient::new(addr);
        test(World { addr, faults, log }).await;
    });
}

impl World {
    /// Starts a daemon that follows the log.
    pub(crate) fn daemon(&self) -> Daemon {
        let mut settings = Settings::new(self.addr, trust());
        settings.poll_timeout = HumanDuration::ms(50);
        settings.max_backoff = HumanDuration::ms(50);
        settings.checkpoint_delay = HumanDuration::ms(50);
        let held = BundleState::new(trust());
        let follower = Follower::new(settings, Rc::clone(&held), Rc::new(SystemClock)).start();
        Daemon { held, follower }
    }

    /// An operator's tool that has read the log.
    pub(crate) async fn publisher(&self) -> Publisher {
        let mut publisher = Publisher::new(self.log.clone(), trust());
        publisher.read_to_end().await.expect("the log answers");
        publisher
    }

    /// What the log holds.
    pub(crate) async fn page(&self) -> Page {
        let read = self.log.read(STREAM, Offset(0), 10_000, Duration::ZERO);
        read.await.expect("the log answers")
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

/// A bundle that differs by `mark` alone.
pub(crate) fn content(mark: &str) -> Content {
    let json = json!({
        "classes": {},
        "workspaces": {},
        "models": { mark: {} },
        "operators": trust(),
    });
    Content::from_json(&json).expect("an object of objects")
}

/// Whether a daemon goes by the bundle with the given mark.
pub(crate) fn goes_by(daemon: &Daemon, mark: &str) -> bool {
    let bundle = daemon.held.bundle();
    bundle.is_some_and(|b| b.models.contains_key(mark))
}

/// Waits for a condition, for as long as a slow machine may need.
pub(crate) async fn until(what: &str, mut met: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if met() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain until {what}");
}

/// Waits for a condition on what the log holds.
pub(crate) async fn until_log(world: &World, what: &str, met: impl Fn(&Page) -> bool) {
    let last = RefCell::new(Page::default());
    for _ in 0..TRIES {
        *last.borrow_mut() = world.page().await;
        if met(&last.borrow()) {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!(
        "waited in vain until {what}; first={}",
        last.borrow().first_offset
    );
}
