//! Grant requests of entries, answered by a responder over real sockets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use admission::Settings;
use admission::responder::GrantResponder;
use base::clock::SystemClock;
use base::stop::StopSignal;
use policy::grants::GrantController;
use policy::shares::ShareAccount;
use rstest::rstest;
use tokio::net::UdpSocket;
use wire::grants::{
    AdmissionRequest, GrantRequest, GrantResponse, MAX_DATAGRAM_BYTES, RequestKind, Verdict,
    decode, encode,
};

struct Entry {
    socket: UdpSocket,
    sidecar: SocketAddr,
}

impl Entry {
    async fn send(&self, call_number: u32, kind: RequestKind) {
        let request = GrantRequest {
            incarnation: 1,
            call_number,
            kind,
        };
        let sent = self.socket.send_to(&encode(&request), self.sidecar).await;
        sent.expect("datagram sent");
    }

    async fn request(&self, number: u32, tokens: u32) -> Verdict {
        self.request_started_at(number, tokens, 1_790_000_000_123)
            .await
    }

    /// Requests admission to the engine that started at `started_ms`, in Unix
    /// milliseconds.
    async fn request_started_at(&self, number: u32, tokens: u32, started_ms: u64) -> Verdict {
        self.request_server("s", number, tokens, Some(started_ms))
            .await
    }

    /// Requests admission to the engine incarnation `server`.
    async fn request_server(
        &self,
        server: &str,
        number: u32,
        tokens: u32,
        started_ms: Option<u64>,
    ) -> Verdict {
        let admission = Self::admission(server, number, tokens, started_ms);
        self.send(number, RequestKind::Admission(admission)).await;
        self.receive().await.verdict
    }

    fn admission(
        server: &str,
        number: u32,
        tokens: u32,
        started_ms: Option<u64>,
    ) -> AdmissionRequest {
        AdmissionRequest {
            request_id: number.to_string(),
            server: server.to_owned(),
            started_ms,
            prompt_parts: vec![(u64::from(number), tokens)],
            first_event_ms: 2_000,
            timeout_ms: 4_000,
            max_gap_ms: None,
            slots: 32,
            priority: 5,
            is_home: true,
            forced: false,
            remote_tokens: 0,
            copy_ns: None,
            workspace: None,
            output_tokens: 0,
        }
    }

    /// Requests the utilization of the engine, in thousandths.
    async fn utilization(&self, number: u32) -> u32 {
        self.send(number, RequestKind::Utilization).await;
        match self.receive().await.verdict {
            Verdict::Utilization(thousandths) => thousandths,
            other => panic!("expected a utilization: {other:?}"),
        }
    }

    async fn receive(&self) -> GrantResponse {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, _) = self
            .socket
            .recv_from(&mut buffer)
            .await
            .expect("a response");
        decode(&buffer[..length]).expect("a valid response")
    }
}

async fn start() -> (Rc<GrantResponder>, Entry) {
    start_with(GrantController::default()).await
}

async fn start_with(grants: GrantController) -> (Rc<GrantResponder>, Entry) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let sidecar = socket.local_addr().expect("an address");
    let responder = GrantResponder::with_grants(socket, Rc::new(SystemClock), grants);
    actix_rt::spawn(Rc::clone(&responder).listen());
    actix_rt::spawn(Rc::clone(&responder).poll_waiting(StopSignal::new()));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    (responder, Entry { socket, sidecar })
}

/// A call that is queued behind a long one is granted as soon as the entry
/// reports the first event of the long one.
#[actix_rt::test]
async fn queued_call_granted() {
    let (responder, entry) = start().await;
    assert!(responder.is_idle());
    assert_eq!(entry.request(1, 30_000).await, Verdict::Granted);
    assert!(matches!(entry.request(2, 3_000).await, Verdict::Queued(_)));
    entry.send(1, RequestKind::FirstEvent).await;
    let response = entry.receive().await;
    assert_eq!(
        (response.call_number, response.verdict),
        (2, Verdict::Granted)
    );
}

/// A queued call that is displaced by calls of other workspaces must be answered
/// at once: its entry would otherwise wait for a grant until its deadline.
#[actix_rt::test]
async fn displaced_call_is_refused() {
    let fair = GrantController::with_shares(ShareAccount::default());
    let (_responder, entry) = start_with(fair).await;
    let send = async |number: u32, workspace| {
        let admission = AdmissionRequest {
            workspace: Some(workspace),
            ..Entry::admission("s", number, 4_000, None)
        };
        entry.send(number, RequestKind::Admission(admission)).await;
    };
    let mut waiting = 0;
    for number in 0..100 {
        send(number, 1).await;
        if matches!(entry.receive().await.verdict, Verdict::Queued(_)) {
            waiting += 1;
        }
    }
    assert!(0 < waiting && waiting < 90, "{waiting} calls wait");
    for number in 200..204 {
        send(number, u64::from(number)).await;
    }
    let mut displaced = 0;
    let mut queued = 0;
    while displaced == 0 || queued < 4 {
        let answer = entry.receive().await;
        match answer.verdict {
            Verdict::Refused(_) if answer.call_number < 100 => displaced += 1,
            Verdict::Queued(_) if answer.call_number >= 200 => queued += 1,
            other => panic!("call {}: {other:?}", answer.call_number),
        }
    }
}

/// Weights that the account cannot count would be taken as others.
#[rstest]
#[case::usual(2.5, true)]
#[case::zero(0.0, false)]
#[case::too_large(1e6, false)]
fn share_weights_checked(#[case] weight: f64, #[case] valid: bool) {
    let settings: Settings = serde_json::from_value(serde_json::json!({
        "name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2",
        "fair_shares": true, "share_weights": {"acme": weight},
    }))
    .expect("settings");
    assert_eq!(settings.check().is_ok(), valid);
}

/// Guards against overloading an engine that has replaced another one. An entry
/// with an outdated server list still requests the old engine; such a request
/// must be refused and must not reset the state kept for the new engine.
#[actix_rt::test]
async fn replaced_engine_refused() {
    let (_responder, entry) = start().await;
    let (old, new) = (1_790_000_000_000, 1_790_000_009_000);
    assert_eq!(
        entry.request_started_at(1, 3_000, old).await,
        Verdict::Granted
    );
    assert_eq!(
        entry.request_started_at(2, 30_000, new).await,
        Verdict::Granted
    );
    let refused = entry.request_started_at(3, 3_000, old).await;
    assert!(matches!(refused, Verdict::Refused(_)));
    let queued = entry.request_started_at(4, 3_000, new).await;
    assert!(matches!(queued, Verdict::Queued(_)));
}

/// Waiting calls raise the utilization beyond the engine's capacity, so that
/// autoscaling adds servers before callers are refused.
#[actix_rt::test]
async fn waiting_calls_raise_utilization() {
    let (_responder, entry) = start().await;
    assert_eq!(entry.utilization(1).await, 0);
    assert_eq!(entry.request(2, 30_000).await, Verdict::Granted);
    let running = entry.utilization(3).await;
    assert!(matches!(entry.request(4, 30_000).await, Verdict::Queued(_)));
    let with_waiting = entry.utilization(5).await;
    assert!(
        0 < running && running < with_waiting,
        "{running} {with_waiting}"
    );
}

/// When the sidecar stops, waiting calls are granted at once, since nothing
/// schedules them any more.
#[actix_rt::test]
async fn stop_grants_all() {
    let (responder, entry) = start().await;
    entry.request(1, 30_000).await;
    entry.request(2, 3_000).await;
    assert_eq!(responder.grant_all().await, 1);
    let response = entry.receive().await;
    assert_eq!(
        (response.call_number, response.verdict),
        (2, Verdict::Granted)
    );
}

/// A malformed datagram is ignored.
#[actix_rt::test]
async fn malformed_datagram_ignored() {
    let (_responder, entry) = start().await;
    let sent = entry.socket.send_to(b"\x09what", entry.sidecar).await;
    sent.expect("datagram sent");
    assert_eq!(entry.request(1, 100).await, Verdict::Granted);
}

#[rstest]
#[case::valid("50ms", true)]
#[case::zero("0ms", false)]
fn settings_checked(#[case] interval: &str, #[case] valid: bool) {
    let settings: Settings = serde_json::from_value(serde_json::json!({
        "name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "report_every": interval,
    }))
    .expect("settings");
    assert_eq!(settings.check().is_ok(), valid);
    assert_eq!(
        settings.report_every.0,
        Duration::from_millis(if valid { 50 } else { 0 })
    );
}

fn server_gone(server: &str, started_ms: Option<u64>) -> RequestKind {
    let server = server.to_owned();
    RequestKind::ServerGone { server, started_ms }
}

/// After a power loss all engines restart under new names while the store lists
/// both. Once one entry has reported that the engine refused a call for the old
/// name, further requests for that name are answered at once and must not reset
/// the state kept for the new incarnation, which would be overloaded.
#[actix_rt::test]
async fn ended_incarnation_reported() {
    let (responder, entry) = start().await;
    assert_eq!(
        entry.request_server("old", 1, 3_000, None).await,
        Verdict::Granted
    );
    entry.send(1, server_gone("old", None)).await;
    let granted = entry.request_server("new", 2, 30_000, None).await;
    assert_eq!(granted, Verdict::Granted);
    assert_eq!(
        entry.request_server("old", 3, 3_000, None).await,
        Verdict::ServerGone
    );
    let queued = entry.request_server("new", 4, 3_000, None).await;
    assert!(matches!(queued, Verdict::Queued(_)));
    assert!(!responder.is_idle());
}

/// A call that waits for an ended incarnation is rejected at once. Granted
/// later, it would be refused by the engine's next incarnation.
#[actix_rt::test]
async fn ended_incarnation_rejects_waiting() {
    let (_responder, entry) = start().await;
    entry.request_server("old", 1, 30_000, None).await;
    let queued = entry.request_server("old", 2, 3_000, None).await;
    assert!(matches!(queued, Verdict::Queued(_)));
    entry.send(1, server_gone("old", None)).await;
    let response = entry.receive().await;
    assert_eq!(
        (response.call_number, response.verdict),
        (2, Verdict::ServerGone)
    );
}

/// Guards against an engine that restarts under its old name being rejected
/// because its earlier incarnation was reported as ended.
#[actix_rt::test]
async fn restart_under_same_name() {
    let (_responder, entry) = start().await;
    entry.request_server("s", 1, 3_000, Some(1_000)).await;
    entry.send(1, server_gone("s", Some(1_000))).await;
    assert_eq!(
        entry.request_server("s", 2, 3_000, Some(1_000)).await,
        Verdict::ServerGone
    );
    let granted = entry.request_server("s", 3, 3_000, Some(2_000)).await;
    assert_eq!(granted, Verdict::Granted);
}

/// Guards against calls being granted to an engine that is shutting down: both
/// waiting and new calls are rejected.
#[actix_rt::test]
async fn leaving_engine_grants_nothing() {
    let (responder, entry) = start().await;
    entry.request_server("old", 1, 30_000, None).await;
    let queued = entry.request_server("old", 2, 3_000, None).await;
    assert!(matches!(queued, Verdict::Queued(_)));
    responder.mark_leaving("old");
    let response = entry.receive().await;
    assert_eq!(
        (response.call_number, response.verdict),
        (2, Verdict::Leaving)
    );
    let refused = entry.request_server("old", 3, 3_000, None).await;
    assert_eq!(refused, Verdict::Leaving);
    let decided = entry.request_server("new", 4, 3_000, None).await;
    assert!(matches!(decided, Verdict::Granted | Verdict::Queued(_)));
    // A late status response of the earlier incarnation.
    responder.mark_leaving("old");
    let decided = entry.request_server("new", 5, 3_000, None).await;
    assert!(matches!(decided, Verdict::Granted | Verdict::Queued(_)));
}

/// Guards against an engine that restarts under its old name being treated as
/// still shutting down.
#[actix_rt::test]
async fn restart_clears_leaving() {
    let (responder, entry) = start().await;
    entry.request_server("s", 1, 3_000, Some(1_000)).await;
    responder.mark_leaving("s");
    let refused = entry.request_server("s", 2, 3_000, Some(1_000)).await;
    assert_eq!(refused, Verdict::Leaving);
    let granted = entry.request_server("s", 3, 3_000, Some(2_000)).await;
    assert_eq!(granted, Verdict::Granted);
}

/// Guards against an engine that takes no calls looking idle: its sidecar would admit
/// every call, and each entry would find out by calls of its own.
#[actix_rt::test]
async fn rejecting_engine_admits_calls() {
    let (_responder, entry) = start().await;
    for number in 0..3 {
        assert_eq!(entry.request(number, 1_000).await, Verdict::Granted);
    }
    for number in 0..3 {
        entry.send(number, RequestKind::Rejected).await;
        let ended = RequestKind::Ended {
            pause_ms: 0,
            event_us: 0,
        };
        entry.send(number, ended).await;
    }
    assert!(matches!(entry.request(3, 1_000).await, Verdict::Closed(ms) if ms > 0));
}

/// Guards against calls waiting for an engine that takes none.
#[actix_rt::test]
async fn call_waits_for_rejecting_engine() {
    let (_responder, entry) = start().await;
    for number in 0..3 {
        assert_eq!(entry.request(number, 1_000).await, Verdict::Granted);
    }
    assert_eq!(entry.request(3, 30_000).await, Verdict::Granted);
    assert!(matches!(entry.request(4, 3_000).await, Verdict::Queued(_)));
    for number in 0..3 {
        entry.send(number, RequestKind::Rejected).await;
    }
    let response = entry.receive().await;
    assert_eq!(response.call_number, 4);
    assert!(matches!(response.verdict, Verdict::Closed(_)));
}

/// Guards against closing an engine that serves calls because of a few that it rejects.
#[actix_rt::test]
async fn serving_engine_closed_by_single_rejections() {
    let (_responder, entry) = start().await;
    for number in 0..9 {
        assert_eq!(entry.request(number, 100).await, Verdict::Granted);
        let told = match number % 3 {
            0 => RequestKind::FirstEvent,
            _ => RequestKind::Rejected,
        };
        entry.send(number, told).await;
    }
}
