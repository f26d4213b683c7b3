//! The sidecars that an entry keeps connections to.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Instant;

use base::ids::Incarnation;
use policy::placement::ServerIndex;
use wire::{Load, Peer, Reply};

use crate::settings::Known;

/// The known sidecars. Each keeps its number for as long as it is known, so
/// that a choice made before a change of the list still means the same one.
#[derive(Default)]
pub struct Servers {
    by_id: RefCell<BTreeMap<ServerIndex, Rc<Server>>>,
    /// The number that the next new one gets.
    next: Cell<ServerIndex>,
}

/// A sidecar and the connection to it.
pub struct Server {
    /// Its number, never given to another.
    pub id: ServerIndex,
    /// What is known of it from outside.
    pub known: Known,
    /// The connection.
    pub peer: Peer,
    /// Whether the host list says that it is about to go away.
    pub leaving: Cell<bool>,
    /// What it told last about its load.
    pub load: Cell<Load>,
    /// When it answered last, and in which life.
    pub heard: Cell<Option<(Instant, Incarnation)>>,
}

impl Servers {
    /// Makes the known sidecars exactly these. Those that stay keep their
    /// number and their connection; answers in progress at one that goes
    /// still come to their end.
    pub fn set(&self, known: &[Known]) {
        let mut new: HashSet<&Known> = known.iter().collect();
        let mut by_id = self.by_id.borrow_mut();
        by_id.retain(|_, server| new.remove(&server.known));

        for known in known.iter().filter(|k| new.contains(k)) {
            let id = self.next.get();
            self.next.set(id + 1);
            by_id.insert(id, Rc::new(Server::new(id, known)));
        }
    }

    /// The sidecars whose backend server offers `target` and that take new
    /// work.
    pub fn candidates(&self, target: &str) -> Vec<ServerIndex> {
        let by_id = self.by_id.borrow();
        let fits = |s: &&Rc<Server>| s.known.serves == target && s.takes();
        by_id.values().filter(fits).map(|s| s.id).collect()
    }

    /// The sidecar with a number, if it is still known.
    pub fn get(&self, id: ServerIndex) -> Option<Rc<Server>> {
        self.by_id.borrow().get(&id).cloned()
    }

    /// All of them.
    pub fn all(&self) -> Vec<Rc<Server>> {
        self.by_id.borrow().values().cloned().collect()
    }
}

impl Server {
    fn new(id: ServerIndex, known: &Known) -> Self {
        Self {
            id,
            known: known.clone(),
            peer: Peer::new(known.addr),
            leaving: Cell::new(false),
            load: Cell::default(),
            heard: Cell::new(None),
        }
    }

    /// Whether it takes new work, by its own word and by the list's.
    ///
    /// Its own word is the faster one: the list may lag by half a minute, and
    /// each request sent there meanwhile would lose a round trip to be refused.
    pub fn takes(&self) -> bool {
        !self.load.get().draining && !self.leaving.get()
    }

    /// Notes what any answer tells beside itself.
    pub fn note<T>(&self, now: Instant, reply: &Reply<T>) {
        self.load.set(reply.load);
        self.heard.set(Some((now, reply.incarnation)));
    }
}
