//! Follows the engine's cache events, so that the replies to `reserve` state how
//! much of a prompt is in the prefix cache. It is sent in these replies only.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use clients::engine::{CacheChange, CacheEvents, EngineClient};
use policy::caches::{BlockChange, CacheMap};
use spdlog::debug;

use crate::state::{BackendClient, State};

/// The interval between fetches. It may be long, since the engine publishes the
/// events late anyway.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the events until `stop` is triggered. A plain service has none.
pub async fn follow(state: Rc<State>, stop: StopSignal) {
    let BackendClient::Engine(engine) = &state.backend else {
        return stop.wait().await;
    };
    while !stop.is_triggered() {
        fetch(&state, engine).await;
        tokio::select! {
            () = tokio::time::sleep(FETCH_INTERVAL) => {}
            () = stop.wait() => {}
        }
    }
}

async fn fetch(state: &State, engine: &EngineClient) {
    let from = state.prefix_cache.borrow().next_event();
    match engine.cache_events(from).await {
        Ok(events) => apply_events(&mut state.prefix_cache.borrow_mut(), &events),
        // The cache may have changed by the time the engine answers again.
        Err(e) => {
            debug!("fetching cache events failed", kv: { error = e.to_string().as_str() });
            state.prefix_cache.borrow_mut().reset();
        }
    }
}

fn apply_events(map: &mut CacheMap, events: &CacheEvents) {
    // The sequence numbers started over: the engine restarted with an empty
    // cache.
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
