//! Tests the cached tokens that a sidecar reports from its engine's cache events.

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

/// The events that the engine returns, whatever sequence number is requested.
type PublishedEvents = Rc<RefCell<CacheEvents>>;

async fn serve_events(http: HttpRequest) -> HttpResponse {
    HttpResponse::Ok().json(&*http.app_data::<PublishedEvents>().unwrap().borrow())
}

fn stored(seq: u64, block_hash: u64) -> CacheEvent {
    let change = CacheChange::Stored;
    CacheEvent {
        seq,
        change,
        block_hash,
    }
}

/// Reserves slots until a reply reports `expected` cached tokens.
async fn expect_cached_tokens(peer: &Peer, last_ticket: &mut u128, expected: u32) {
    let header = CallHeader {
        sequence: BundleSequence(0),
    };
    loop {
        *last_ticket += 1;
        let request = ReserveRequest {
            ticket: RequestId(*last_ticket),
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
        let response = peer.reserve(header, request).await;
        if let Ok(reply) = response
            && matches!(reply.body, ReserveOutcome::Ready { cached_tokens, .. } if cached_tokens == expected)
        {
            return;
        }
        let _ = peer.cancel(header, RequestId(*last_ticket)).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// The reply to `reserve` reports a cached prefix, and no longer does after a gap
// in the events. The lost event may have been the prefix's removal, and the
// request would be routed to a cache that no longer has it.
#[actix_rt::test]
async fn reserve_reports_cached_prefix() {
    let published: PublishedEvents = Rc::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = listener.local_addr().unwrap();
    let app = App::new()
        .app_data(Rc::clone(&published))
        .route("/v1/cache/events", web::get().to(serve_events));
    actix_rt::spawn(base::http::serve(listener, app, StopSignal::new()));

    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = unused.local_addr().unwrap();
    drop(unused);
    let settings = json!({
        "name": "sidecar", "zone": "plateau", "listen": addr, "log_level": "off",
        "backend": { "engine": { "addr": engine, "slots": 1 } },
    });
    let settings: sidecar::Settings = serde_json::from_value(settings).unwrap();
    actix_rt::spawn(sidecar::run(settings, StopSignal::new()));

    let peer = Peer::new(addr, Timeouts::default());
    let mut last_ticket = 0;
    let checks = async {
        expect_cached_tokens(&peer, &mut last_ticket, 0).await;
        published.borrow_mut().events.push(stored(0, PREFIX));
        published.borrow_mut().next_seq = 1;
        expect_cached_tokens(&peer, &mut last_ticket, 256).await;

        published.borrow_mut().events.push(stored(2, 8));
        published.borrow_mut().next_seq = 3;
        expect_cached_tokens(&peer, &mut last_ticket, 0).await;
    };
    let result = tokio::time::timeout(Duration::from_secs(30), checks).await;
    result.expect("the reported tokens follow the events");
}
