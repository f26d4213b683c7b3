//! Callers that are refused, forge, or come while the entry stops.

use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Act, Entry, OK, Plan, field, request, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ID: &str = "call-id: 1\r\n";

#[rstest]
#[case::own("key: k\r\n", "200")]
#[case::none("", "401")]
#[case::unknown("key: x\r\n", "401")]
#[actix_rt::test]
async fn key_checked(#[case] key: &str, #[case] wanted: &str) {
    let mut plan = Plan::new(CallKind::Once, 1, &[Act::Send(OK)]);
    plan.keys = true;
    let entry = Entry::start(plan).await;
    let answer = entry.call(&format!("{ID}{key}")).await;
    assert_eq!(status(&answer), wanted);
    for request in entry.servers.requests() {
        assert_eq!(field(&request, "workspace").as_deref(), Some("w"));
        assert!(field(&request, "key").is_none());
    }
}

/// An entry that has just started knows no catalog. It cannot tell whether a
/// route exists, so it refuses for now instead of answering 404.
#[actix_rt::test]
async fn no_catalog_is_no_404() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    entry.state.catalog.borrow_mut().take();
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "503");
    assert!(field(&answer, "retry-after").is_some());
    assert!(!entry.state.is_ready());
}

/// Guards against callers being turned away by an entry that has started and is
/// about to be told of the catalog.
#[actix_rt::test]
async fn first_tables_are_waited_for() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    let catalog = entry.state.catalog.borrow_mut().take();
    let call = entry.call(ID);
    let told = async {
        // The call comes meanwhile.
        for _ in 0..1000 {
            tokio::task::yield_now().await;
        }
        *entry.state.catalog.borrow_mut() = catalog;
        entry.state.tables.changed.notify_waiters();
    };
    let (answer, ()) = futures_util::future::join(call, told).await;
    assert_eq!(status(&answer), "200");
}

#[actix_rt::test]
async fn passed_on_unchanged() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    entry
        .call("call-id: 1\r\nOther: kept\r\npatience-ms: 900\r\n")
        .await;
    let request = entry.servers.requests().remove(0);
    assert!(request.starts_with("POST /r/x?q=1 HTTP/1.1\r\n"));
    assert!(request.ends_with("\r\n\r\nbody"));
    assert_eq!(field(&request, "other").as_deref(), Some("kept"));
    let left: u64 = field(&request, "left-ms")
        .and_then(|l| l.parse().ok())
        .expect("a time");
    assert!(left <= 900);
}

/// A request hides in the body of another. It must reach the server as body.
#[actix_rt::test]
async fn smuggled_request_stays_a_body() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    let inner = "POST /r/evil HTTP/1.1\r\nHost: h.example\r\n\r\n";
    let length = inner.len();
    let outer = format!(
        "POST /r/x HTTP/1.1\r\nHost: h.example\r\n{ID}Connection: close\r\n\
         Content-Length: {length}\r\n\r\n{inner}"
    );
    let mut stream = entry.connect().await;
    stream.write_all(outer.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert!(requests[0].ends_with(inner));
}

/// The entry is told to stop while a call is at a server. The call ends whole
/// and its answer tells the caller to connect anew; the entry says that it is
/// not ready meanwhile.
#[actix_rt::test]
async fn stopping_ends_calls_whole() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    entry.state.servers_loaded.set(true);
    assert!(entry.state.is_ready());
    entry.state.stopping.trigger();
    assert!(!entry.state.is_ready());
    let mut stream = entry.connect().await;
    stream
        .write_all(request(ID, "").as_bytes())
        .await
        .expect("sent");
    let mut answer = Vec::new();
    // The connection closes by itself after the answer.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert_eq!(status(&answer), "200");
    assert_eq!(field(&answer, "connection").as_deref(), Some("close"));
    entry.stop.trigger();
}
