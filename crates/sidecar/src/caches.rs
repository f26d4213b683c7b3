//! Following the engine's cache events, so that offers tell which prompts
//! would find their prefix cached. Nothing of it is sent to anyone unasked.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use clients::engine::{CacheChange, CacheEvents, EngineClient};
use policy::caches::{BlockChange, CacheMap};
use spdlog::debug;

use crate::state::{Client, State};

/// How often the events are fetched. They come late anyway.
const EVERY: Duration = Duration::from_secs(1);

/// Follows the events until `stop` is asked. A plain service has none.
pub async fn follow(state: Rc<State>, stop: StopSignal) {
    let Client::Engine(engine) = &state.backend else {
        return;
    };
    while !stop.is_triggered() {
        fetch(&state, engine).await;
        tokio::select! {
            () = tokio::time::sleep(EVERY) => {}
            () = stop.wait() => {}
        }
    }
}

async fn fetch(state: &State, engine: &EngineClient) {
    let from = state.caches.borrow().next_event();
    match engine.cache_events(from).await {
        Ok(events) => take(&mut state.caches.borrow_mut(), &events),
        // What is known may be wrong by the time the engine is back.
        Err(e) => {
            debug!("no cache events", kv: { error = e.to_string().as_str() });
            state.caches.borrow_mut().reset();
        }
    }
}

fn take(map: &mut CacheMap, events: &CacheEvents) {
    // The numbers began anew: the engine restarted with an empty cache.
    if events.next_seq < map.next_event() {
        map.reset();
    }
    for event in &events.events {
        let change = match event.change {
            CacheChange::Stored => BlockChange::Stored,
            CacheChange::Removed => BlockChange::Removed,
        };
        map.apply(event.seq, change, event.block_hash);
    }
    map.advance_to(events.next_seq);
}
