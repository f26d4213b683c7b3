//! What an entry knows: the bundle in force and the sidecars.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::clock::Clock;
use base::ids::Sequence;
use bundle::{Bundle, Lookup};
use policy::Placement;
use wire::Stamp;

use crate::servers::Servers;
use crate::settings::Settings;

/// How often draining looks whether all has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Everything that an entry knows.
pub struct State {
    /// What the operators set.
    pub settings: Settings,
    /// Where the time comes from.
    pub clock: Rc<dyn Clock>,
    /// The bundle in force.
    pub bundle: RefCell<Rc<Lookup>>,
    /// The known sidecars.
    pub servers: Servers,
    /// Where to ask for a slot.
    pub placement: RefCell<Placement>,
    /// Whether no new requests are taken.
    pub draining: Cell<bool>,
    /// Requests in progress.
    open: Cell<usize>,
}

impl State {
    /// Makes the state of an entry that just started.
    #[must_use]
    pub fn new(settings: Settings, bundle: Bundle, clock: Rc<dyn Clock>) -> Rc<Self> {
        let seed = settings.seed.unwrap_or_else(rand::random);
        let servers = Servers::default();
        servers.set(&settings.sidecars);
        Rc::new(Self {
            servers,
            settings,
            clock,
            bundle: RefCell::new(Rc::new(Lookup::new(bundle))),
            placement: RefCell::new(Placement::new(seed)),
            draining: Cell::new(false),
            open: Cell::new(0),
        })
    }

    /// What every call tells about this entry.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            sequence: Sequence::default(),
        }
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn open(self: &Rc<Self>) -> Open {
        self.open.set(self.open.get() + 1);
        Open {
            state: Rc::clone(self),
        }
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.open.get()
    }

    /// Waits until no request is in progress.
    pub async fn drain(&self) {
        while self.open.get() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

/// Counts one request as in progress for as long as it lives.
pub struct Open {
    state: Rc<State>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.open.set(self.state.open.get() - 1);
    }
}
