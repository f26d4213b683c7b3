//! A sidecar's responder and the entries before it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use admission::Settings;
use admission::responder::GrantResponder;
use base::clock::SystemClock;
use base::stop::StopSignal;
use rstest::rstest;
use tokio::net::UdpSocket;
use wire::grants::{
    AdmissionRequest, GrantRequest, GrantResponse, MAX_DATAGRAM_BYTES, RequestKind, Verdict,
    decode, encode,
};

struct Entry {
    socket: UdpSocket,
    to: SocketAddr,
}

impl Entry {
    async fn tell(&self, call_number: u32, kind: RequestKind) {
        let ask = GrantRequest {
            incarnation: 1,
            call_number,
            kind,
        };
        let sent = self.socket.send_to(&encode(&ask), self.to).await;
        sent.expect("sent");
    }

    async fn want(&self, number: u32, tokens: u32) -> Verdict {
        self.want_of(number, tokens, 1_790_000_000_123).await
    }

    /// The same of an engine that started at `born`.
    async fn want_of(&self, number: u32, tokens: u32, born: u64) -> Verdict {
        self.want_at("s", number, tokens, Some(born)).await
    }

    /// The same of the engine's life `server`.
    async fn want_at(
        &self,
        server: &str,
        number: u32,
        tokens: u32,
        started_ms: Option<u64>,
    ) -> Verdict {
        let want = AdmissionRequest {
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
        };
        self.tell(number, RequestKind::Admission(want)).await;
        self.next().await.verdict
    }

    /// How busy the sidecar says that its engine is, in thousandths.
    async fn busy(&self, number: u32) -> u32 {
        self.tell(number, RequestKind::Utilization).await;
        match self.next().await.verdict {
            Verdict::Utilization(thousandths) => thousandths,
            other => panic!("expected how busy it is: {other:?}"),
        }
    }

    async fn next(&self) -> GrantResponse {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, _) = self.socket.recv_from(&mut buffer).await.expect("an answer");
        decode(&buffer[..length]).expect("understood")
    }
}

async fn start() -> (Rc<GrantResponder>, Entry) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let to = socket.local_addr().expect("an address");
    let responder = GrantResponder::new(socket, Rc::new(SystemClock));
    actix_rt::spawn(Rc::clone(&responder).listen());
    actix_rt::spawn(Rc::clone(&responder).poll_waiting(StopSignal::new()));
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    (responder, Entry { socket, to })
}

/// A second call waits behind a long one and is let in as soon as the entry
/// says that the first has its first event.
#[actix_rt::test]
async fn queued_let_in() {
    let (responder, entry) = start().await;
    assert!(responder.is_idle());
    assert_eq!(entry.want(1, 30_000).await, Verdict::Granted);
    assert!(matches!(entry.want(2, 3_000).await, Verdict::Queued(_)));
    entry.tell(1, RequestKind::FirstEvent).await;
    let answer = entry.next().await;
    assert_eq!((answer.call_number, answer.verdict), (2, Verdict::Granted));
}

/// An engine is replaced beside its sidecar, and one entry's list is old: it
/// asks on for the engine that leaves. Each such call must go elsewhere, and
/// not clear the books of the new engine, which would then be let in too much.
#[actix_rt::test]
async fn replaced_engine_refused() {
    let (_responder, entry) = start().await;
    let (old, new) = (1_790_000_000_000, 1_790_000_009_000);
    assert_eq!(entry.want_of(1, 3_000, old).await, Verdict::Granted);
    assert_eq!(entry.want_of(2, 30_000, new).await, Verdict::Granted);
    let refused = entry.want_of(3, 3_000, old).await;
    assert!(matches!(refused, Verdict::Refused(_)));
    let queued = entry.want_of(4, 3_000, new).await;
    assert!(matches!(queued, Verdict::Queued(_)));
}

/// Whoever orders engines asks how busy this one is. Calls that wait count
/// beyond what it can do, so that more are ordered before callers are refused.
#[actix_rt::test]
async fn busy_told() {
    let (_responder, entry) = start().await;
    assert_eq!(entry.busy(1).await, 0);
    assert_eq!(entry.want(2, 30_000).await, Verdict::Granted);
    let one = entry.busy(3).await;
    assert!(matches!(entry.want(4, 30_000).await, Verdict::Queued(_)));
    let two = entry.busy(5).await;
    assert!(0 < one && one < two, "{one} {two}");
}

/// The sidecar is told to stop while a call waits: the call goes on at once,
/// since nobody will order it any more.
#[actix_rt::test]
async fn stop_lets_all_in() {
    let (responder, entry) = start().await;
    entry.want(1, 30_000).await;
    entry.want(2, 3_000).await;
    assert_eq!(responder.grant_all().await, 1);
    let answer = entry.next().await;
    assert_eq!((answer.call_number, answer.verdict), (2, Verdict::Granted));
}

/// Bytes that make no sense change nothing.
#[actix_rt::test]
async fn odd_bytes_passed_over() {
    let (_responder, entry) = start().await;
    let sent = entry.socket.send_to(b"\x09what", entry.to).await;
    sent.expect("sent");
    assert_eq!(entry.want(1, 100).await, Verdict::Granted);
}

#[rstest]
#[case::fine("50ms", true)]
#[case::zero("0ms", false)]
fn settings_checked(#[case] every: &str, #[case] fine: bool) {
    let settings: Settings = serde_json::from_value(serde_json::json!({
        "name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "report_every": every,
    }))
    .expect("settings");
    assert_eq!(settings.check().is_ok(), fine);
    assert_eq!(
        settings.report_every.0,
        Duration::from_millis(if fine { 50 } else { 0 })
    );
}

fn gone(server: &str, started_ms: Option<u64>) -> RequestKind {
    let server = server.to_owned();
    RequestKind::ServerGone { server, started_ms }
}

/// All engines start again under new names while the store lists both. One
/// entry's call was refused by the engine itself as meant for the old one. All
/// other entries that ask for it are told at once, and the books of the new one
/// stay: cleared with each such question, it would be let in too much.
#[actix_rt::test]
async fn ended_life_is_told() {
    let (responder, entry) = start().await;
    assert_eq!(entry.want_at("old", 1, 3_000, None).await, Verdict::Granted);
    entry.tell(1, gone("old", None)).await;
    let granted = entry.want_at("new", 2, 30_000, None).await;
    assert_eq!(granted, Verdict::Granted);
    assert_eq!(
        entry.want_at("old", 3, 3_000, None).await,
        Verdict::ServerGone
    );
    let queued = entry.want_at("new", 4, 3_000, None).await;
    assert!(matches!(queued, Verdict::Queued(_)));
    assert!(!responder.is_idle());
}

/// A call waits for a life of the engine that has ended. Let in when its turn
/// comes, it would only be refused by the next one.
#[actix_rt::test]
async fn waiting_for_an_ended_life() {
    let (_responder, entry) = start().await;
    entry.want_at("old", 1, 30_000, None).await;
    let queued = entry.want_at("old", 2, 3_000, None).await;
    assert!(matches!(queued, Verdict::Queued(_)));
    entry.tell(1, gone("old", None)).await;
    let answer = entry.next().await;
    assert_eq!(
        (answer.call_number, answer.verdict),
        (2, Verdict::ServerGone)
    );
}

/// An engine starts again under the name that it had. What was said of its
/// earlier life must not keep calls from the new one.
#[actix_rt::test]
async fn same_name_later_life() {
    let (_responder, entry) = start().await;
    entry.want_at("s", 1, 3_000, Some(1_000)).await;
    entry.tell(1, gone("s", Some(1_000))).await;
    assert_eq!(
        entry.want_at("s", 2, 3_000, Some(1_000)).await,
        Verdict::ServerGone
    );
    let granted = entry.want_at("s", 3, 3_000, Some(2_000)).await;
    assert_eq!(granted, Verdict::Granted);
}

/// Guards against calls being let in to an engine that has said that it leaves:
/// those that wait are sent away, and so are those that come.
#[actix_rt::test]
async fn leaving_engine_lets_nobody_in() {
    let (responder, entry) = start().await;
    entry.want_at("old", 1, 30_000, None).await;
    let queued = entry.want_at("old", 2, 3_000, None).await;
    assert!(matches!(queued, Verdict::Queued(_)));
    responder.mark_leaving("old");
    let answer = entry.next().await;
    assert_eq!((answer.call_number, answer.verdict), (2, Verdict::Leaving));
    let refused = entry.want_at("old", 3, 3_000, None).await;
    assert_eq!(refused, Verdict::Leaving);
    let judged = entry.want_at("new", 4, 3_000, None).await;
    assert!(matches!(judged, Verdict::Granted | Verdict::Queued(_)));
    // An answer of the earlier life that comes late.
    responder.mark_leaving("old");
    let judged = entry.want_at("new", 5, 3_000, None).await;
    assert!(matches!(judged, Verdict::Granted | Verdict::Queued(_)));
}

/// Guards against the next life of an engine under the same name being taken for
/// leaving.
#[actix_rt::test]
async fn same_name_does_not_leave() {
    let (responder, entry) = start().await;
    entry.want_at("s", 1, 3_000, Some(1_000)).await;
    responder.mark_leaving("s");
    let refused = entry.want_at("s", 2, 3_000, Some(1_000)).await;
    assert_eq!(refused, Verdict::Leaving);
    let granted = entry.want_at("s", 3, 3_000, Some(2_000)).await;
    assert_eq!(granted, Verdict::Granted);
}
