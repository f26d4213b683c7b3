//! What servers have said that the list does not show any more.
//!
//! A server that is cut off from the store drops out of the list and comes back
//! in the same life. Meanwhile it goes on answering calls that it had.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::ServerRecord;
use super::feedback::{FeedbackChange, Heard, Said};

/// How long it is kept. Servers that leave end within minutes, and outages that
/// drop servers from the list are shorter.
const KEPT: Duration = Duration::from_secs(600);

/// What servers have said that the list does not show, by their names.
#[derive(Debug, Default)]
pub(super) struct Past {
    said: HashMap<Rc<str>, Life>,
}

/// One life of a server.
#[derive(Debug)]
struct Life {
    born: Option<u64>,
    said: Said,
    /// When it was last heard of.
    at: Instant,
}

impl Past {
    /// Keeps what a server has said that the list has dropped.
    pub(super) fn keep(&mut self, now: Instant, server: &ServerRecord, said: Said) {
        if said.holds(now) {
            let life = Life {
                born: server.started_ms,
                said,
                at: now,
            };
            self.said.insert(Rc::clone(&server.id), life);
        }
    }

    /// Takes over what an answer of such a server says.
    pub(super) fn hear(&mut self, server: &ServerRecord, heard: &Heard<'_>) -> FeedbackChange {
        let later = |life: &Life| life.born > server.started_ms;
        if self.said.get(&server.id).is_some_and(later) {
            return FeedbackChange::default();
        }
        let mut said = self.take(server);
        let news = said.hear(heard);
        self.keep(heard.now, server, said);
        news
    }

    /// What a server that the list shows again has said in this life.
    pub(super) fn take(&mut self, server: &ServerRecord) -> Said {
        let life = self.said.remove(&server.id);
        let life = life.filter(|life| life.born == server.started_ms);
        life.map(|life| life.said).unwrap_or_default()
    }

    /// Lets go of what was said long ago.
    pub(super) fn expire(&mut self, now: Instant) {
        self.said.retain(|_, life| now < life.at + KEPT);
    }
}
