//! Calls that are denied or malicious, or that arrive while the entry starts or
//! stops.

use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, ManualClock};
use policy::replica::{Update, UpdateKind};
use policy::roster::EntryInfo;
use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Action, Entry, OK, PATH, Plan, header, request, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ID: &str = "call-id: 1\r\n";

#[rstest]
#[case::own("key: k\r\n", "200")]
#[case::none("", "401")]
#[case::unknown("key: x\r\n", "401")]
#[actix_rt::test]
async fn key_checked(#[case] key: &str, #[case] expected: &str) {
    let mut plan = Plan::new(CallKind::Once, 1, &[Action::Send(OK)]);
    plan.keys = true;
    let entry = Entry::start(plan).await;
    let answer = entry.call(&format!("{ID}{key}")).await;
    assert_eq!(status(&answer), expected);
    for request in entry.servers.requests() {
        assert_eq!(header(&request, "workspace").as_deref(), Some("w"));
        assert!(header(&request, "key").is_none());
    }
}

/// Guards against keeping the query of each caller that leaves while another entry is asked
/// for the stream that it takes up.
#[actix_rt::test]
async fn query_kept_after_disconnect() {
    let entry = Entry::start(Plan::new(CallKind::Resumable, 1, &[])).await;
    let silent = EntryInfo {
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: 1,
        link_mbps: 1,
    };
    let until = entry.state.clock.now() + Duration::from_secs(60);
    entry.state.roster.borrow_mut().insert(silent, until);
    let mut caller = entry.connect().await;
    let call = request("call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n", "");
    caller.write_all(call.as_bytes()).await.expect("sent");
    while entry.state.origins.open_queries() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(caller);
    while entry.state.open_calls.get() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(entry.state.origins.open_queries(), 0);
}

/// When a call comes after the entry was told to stop, what is known of its route, and whether
/// it is sent. The grace period is 8 s, and calls are ended after 7.52 s.
#[derive(Debug, Clone, Copy)]
struct LateCall {
    after_ms: u64,
    timeout_ms: u64,
    /// The durations of recent calls.
    taken_ms: &'static [u64],
    status: &'static str,
}

/// Guards against a call being passed on that is cut at the end of the grace period: only one
/// that ends before, by its deadline or, at first, as usual for its route, may be begun.
#[rstest]
#[case::ends_by_deadline(LateCall { after_ms: 0, timeout_ms: 7_520, taken_ms: &[], status: "200" })]
#[case::late_and_ends_by_deadline(
    LateCall { after_ms: 3_900, timeout_ms: 3_620, taken_ms: &[], status: "200" })]
#[case::unknown(LateCall { after_ms: 2_999, timeout_ms: 15_000, taken_ms: &[], status: "200" })]
#[case::late_and_unknown(
    LateCall { after_ms: 3_000, timeout_ms: 4_521, taken_ms: &[], status: "503" })]
#[case::usually_ends(
    LateCall { after_ms: 2_900, timeout_ms: 15_000, taken_ms: &[4_600; 9], status: "200" })]
#[case::seldom_longer(
    LateCall { after_ms: 0, timeout_ms: 15_000,
        taken_ms: &[9_000, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1], status: "200" })]
#[case::often_longer(
    LateCall { after_ms: 0, timeout_ms: 15_000, taken_ms: &[9_000, 1, 1, 1, 1, 1], status: "503" })]
#[case::usually_longer(
    LateCall { after_ms: 2_900, timeout_ms: 15_000, taken_ms: &[4_700; 9], status: "503" })]
#[case::late_and_usually_ends(
    LateCall { after_ms: 3_000, timeout_ms: 15_000, taken_ms: &[10; 9], status: "503" })]
#[actix_rt::test]
async fn late_call_cut_at_end_of_grace(#[case] late: LateCall) {
    let clock = ManualClock::new();
    let entry = Entry::start(Plan {
        timeout: Duration::from_millis(late.timeout_ms),
        clock: Rc::new(clock.clone()),
        ..Plan::new(CallKind::Once, 1, &[Action::Send(OK)])
    })
    .await;
    let catalog = entry.state.catalog.borrow().clone();
    let route = catalog.and_then(|c| c.route("h.example", PATH).cloned());
    let route = route.expect("a route");
    for ms in late.taken_ms {
        let taken = Duration::from_millis(*ms);
        entry.state.durations.borrow_mut().record(&route, taken);
    }
    entry.state.stop();
    clock.advance(Duration::from_millis(late.after_ms));
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), late.status);
    assert_eq!(
        header(&answer, "retry-after").is_some(),
        late.status == "503"
    );
    assert_eq!(
        entry.servers.requests().len(),
        usize::from(late.status == "200")
    );
}

/// Guards against denying a call for a route or an API key that a newer catalog may have: an
/// entry that has not heard from the store for too long refuses it for now.
#[rstest]
#[case::current_route("/none/x", "key: k\r\n", Duration::from_millis(1500), "404")]
#[case::current_key(PATH, "key: x\r\n", Duration::from_millis(1500), "401")]
#[case::old_route("/none/x", "key: k\r\n", Duration::from_millis(1501), "503")]
#[case::old_key(PATH, "key: x\r\n", Duration::from_millis(1501), "503")]
#[case::old_and_known(PATH, "key: k\r\n", Duration::from_secs(60), "200")]
#[actix_rt::test]
async fn call_denied_by_old_catalog(
    #[case] path: &str,
    #[case] key: &str,
    #[case] age: Duration,
    #[case] expected: &str,
) {
    let clock = ManualClock::new();
    let entry = Entry::start(Plan {
        keys: true,
        clock: Rc::new(clock.clone()),
        ..Plan::new(CallKind::Once, 1, &[Action::Send(OK)])
    })
    .await;
    let read = Update {
        records: Vec::new(),
        kind: UpdateKind::Snapshot,
        position: 1,
        as_of: clock.now(),
    };
    let tables = &entry.state.tables;
    tables.catalog.borrow_mut().apply_store_update(read, None);
    clock.advance(age);
    let headers = format!("{ID}{key}Connection: close\r\n");
    let call = request(&headers, "").replacen(PATH, path, 1);
    let mut caller = entry.connect().await;
    caller.write_all(call.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let _ = caller.read_to_string(&mut answer).await;
    assert_eq!(status(&answer), expected);
    assert_eq!(header(&answer, "retry-after").is_some(), expected == "503");
}

/// An entry that has just started has no catalog and cannot tell whether a
/// route exists. It must refuse the call for now instead of answering 404.
#[actix_rt::test]
async fn missing_catalog_is_refused() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    entry.state.catalog.borrow_mut().take();
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "retry-after").is_some());
    assert!(!entry.state.is_ready());
}

/// Guards against an entry refusing calls right after its start, when it is
/// about to receive the catalog.
#[actix_rt::test]
async fn call_waits_for_first_catalog() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    let catalog = entry.state.catalog.borrow_mut().take();
    let call = entry.call(ID);
    let told = async {
        // Lets the call arrive first.
        for _ in 0..1000 {
            tokio::task::yield_now().await;
        }
        *entry.state.catalog.borrow_mut() = catalog;
        entry.state.tables.changed.notify_waiters();
    };
    let (answer, ()) = futures_util::future::join(call, told).await;
    assert_eq!(status(&answer), "200");
}

/// Guards against an entry refusing calls right after its start, when the store was
/// restored from an old copy and is about to have the servers again.
#[actix_rt::test]
async fn call_waits_for_first_server() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    let state = &entry.state;
    let now = state.clock.now();
    let servers = state.balancer.borrow().serving("app");
    for (server, _) in &servers {
        let mut balancer = state.balancer.borrow_mut();
        balancer.mark_missing(now, &server.id, now);
    }
    state.tables.extend_settling(now, Duration::from_secs(60));
    let call = entry.call(ID);
    let listed = async {
        // Lets the call arrive first.
        for _ in 0..1000 {
            tokio::task::yield_now().await;
        }
        for (server, _) in servers {
            state.balancer.borrow_mut().upsert(now, server);
        }
        state.tables.changed.notify_waiters();
    };
    let (answer, ()) = futures_util::future::join(call, listed).await;
    assert_eq!(status(&answer), "200");
}

#[actix_rt::test]
async fn request_forwarded_unchanged() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    entry
        .call("call-id: 1\r\nOther: kept\r\npatience-ms: 900\r\n")
        .await;
    let request = entry.servers.requests().remove(0);
    assert!(request.starts_with("POST /r/x?q=1 HTTP/1.1\r\n"));
    assert!(request.ends_with("\r\n\r\nbody"));
    assert_eq!(header(&request, "other").as_deref(), Some("kept"));
    let left: u64 = header(&request, "left-ms")
        .and_then(|l| l.parse().ok())
        .expect("a time");
    assert!(left <= 900);
}

/// A request is smuggled in the body of another one. It must reach the server
/// as part of the body.
#[actix_rt::test]
async fn smuggled_request_stays_in_body() {
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

/// An entry that is stopping is not ready, but still serves a call whole and
/// tells the caller to close its connection.
#[actix_rt::test]
async fn stopping_entry_completes_calls() {
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
    // The entry closes the connection after the response.
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert_eq!(status(&answer), "200");
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    entry.stop.trigger();
}
