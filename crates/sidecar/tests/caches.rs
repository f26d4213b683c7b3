//! What a sidecar's offers tell of its engine's prefix cache.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::ids::{BundleSequence, RequestId, Tier};
use base::stop::StopSignal;
use clients::engine::{CacheChange, CacheEvent, CacheEvents};
use serde_json::json;
use tokio::net::TcpListener;
use wire::{CallHeader, Peer, ReserveOutcome, ReserveRequest, Timeouts};

const PREFIX: u64 = 7;

/// The events that the engine gives out, whatever number they are asked from.
type Events = Rc<RefCell<CacheEvents>>;

async fn events(http: HttpRequest) -> HttpResponse {
    HttpResponse::Ok().json(&*http.app_data::<Events>().unwrap().borrow())
}

fn stored(seq: u64, block_hash: u64) -> CacheEvent {
    let change = CacheChange::Stored;
    CacheEvent {
        seq,
        change,
        block_hash,
    }
}

/// Asks for slots until an offer tells of so many cached tokens.
async fn offered(peer: &Peer, tickets: &mut u128, expected: u32) {
    let stamp = CallHeader {
        sequence: BundleSequence(0),
    };
    loop {
        *tickets += 1;
        let ask = ReserveRequest {
            ticket: RequestId(*tickets),
            class: "counter".to_owned(),
            workspace: "cantine".to_owned(),
            weight: 1,
            tier: Tier(0),
            ttft_budget_us: 60_000_000,
            total_budget_us: 60_000_000,
            prompt_tokens: 1000,
            max_tokens: 100,
            prefix_hash: PREFIX,
            repeatable: true,
            preemptions: 0,
            wait_ms: 1000,
        };
        let answer = peer.reserve(stamp, ask).await;
        if let Ok(reply) = answer
            && matches!(reply.body, ReserveOutcome::Ready { cached_tokens, .. } if cached_tokens == expected)
        {
            return;
        }
        let _ = peer.cancel(stamp, RequestId(*tickets)).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// The offer tells that the prompt's prefix is cached, and no longer does once
// an event was lost: the lost one may have been the prefix's removal, and the
// request would be sent after a cache that is gone.
#[actix_rt::test]
async fn offer_cached() {
    let given: Events = Rc::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = listener.local_addr().unwrap();
    let app = App::new()
        .app_data(Rc::clone(&given))
        .route("/v1/cache/events", web::get().to(events));
    actix_rt::spawn(base::http::serve(listener, app, StopSignal::new()));

    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = free.local_addr().unwrap();
    drop(free);
    let settings = json!({
        "name": "sidecar", "zone": "plateau", "listen": addr, "log_level": "off",
        "backend": { "engine": { "addr": engine, "slots": 1 } },
    });
    let settings: sidecar::Settings = serde_json::from_value(settings).unwrap();
    actix_rt::spawn(sidecar::run(settings, StopSignal::new()));

    let peer = Peer::new(addr, Timeouts::default());
    let mut tickets = 0;
    let told = async {
        offered(&peer, &mut tickets, 0).await;
        given.borrow_mut().events.push(stored(0, PREFIX));
        given.borrow_mut().next_seq = 1;
        offered(&peer, &mut tickets, 256).await;

        given.borrow_mut().events.push(stored(2, 8));
        given.borrow_mut().next_seq = 3;
        offered(&peer, &mut tickets, 0).await;
    };
    let bound = tokio::time::timeout(Duration::from_secs(30), told).await;
    bound.expect("the offers follow the events");
}
