//! Calls to engines whose sidecar admits them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::clock::ManualClock;
use forward::grants::SidecarClient;
use policy::routes::CallKind;
use tokio::io::AsyncWriteExt;
use tokio::net::UdpSocket;
use wire::grants::{
    GrantRequest, GrantResponse, MAX_DATAGRAM_BYTES, RequestKind, Verdict, decode, encode,
};

use rstest::rstest;

use crate::common::{Action, ENGINES, Entry, OK, Plan, WRONG_SERVER, header, request, status};
use crate::streams::REMAINDER;

/// A call dominated by the prefill of its prompt.
const PREFILL_CALL: &str = "call-id: 1\r\nprompt: 3000\r\noutput: 50\r\n";

/// A response of a sidecar whose engine has nothing cached.
fn grant_response(call_number: u32, verdict: Verdict) -> GrantResponse {
    GrantResponse {
        call_number,
        verdict,
        cached_tokens: 0,
        prefer_fetch: false,
        event_us: 0,
        free_tokens: 0,
    }
}

/// A sidecar whose responses the test decides.
struct Sidecar(UdpSocket);

impl Sidecar {
    /// Starts an entry with two engines and this one sidecar.
    async fn start() -> (Self, Entry) {
        Self::start_with(&[]).await
    }

    /// The same with actions of the engines.
    async fn start_with(actions: &[Action]) -> (Self, Entry) {
        Self::start_plan(Plan::new(CallKind::Once, 1, actions)).await
    }

    /// The same with any plan.
    async fn start_plan(mut plan: Plan) -> (Self, Entry) {
        let socket = UdpSocket::bind((ENGINES, 0)).await.expect("a port");
        let port = socket.local_addr().expect("an address").port();
        plan.engine = true;
        let entry = Entry::start(plan).await;
        let own = SocketAddr::from(([127, 0, 0, 1], port));
        let own = UdpSocket::bind(own).await.expect("the same port");
        *entry.state.sidecars.borrow_mut() = Some(SidecarClient::new(own, port));
        (Self(socket), entry)
    }

    /// Receives the next message and its sender.
    async fn next(&self) -> (GrantRequest, SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, from) = self.0.recv_from(&mut buffer).await.expect("a message");
        (decode(&buffer[..length]).expect("a valid message"), from)
    }

    /// Answers the next admission request or lookup; returns its kind and
    /// server.
    async fn respond(&self, verdict: Verdict, cached_tokens: u32) -> (RequestKind, String) {
        loop {
            let (message, from) = self.next().await;
            let server = match &message.kind {
                RequestKind::Admission(admission) => admission.server.clone(),
                RequestKind::Lookup(lookup) => lookup.server.clone(),
                _ => continue,
            };
            let response = GrantResponse {
                cached_tokens,
                prefer_fetch: true,
                ..grant_response(message.call_number, verdict)
            };
            self.0
                .send_to(&encode(&response), from)
                .await
                .expect("sent");
            return (message.kind, server);
        }
    }

    /// Answers the next admission request and skips any other message; returns
    /// the call's number.
    async fn answer_admission(&self, verdict: Verdict) -> u32 {
        loop {
            let (message, from) = self.next().await;
            if matches!(message.kind, RequestKind::Admission(_)) {
                let number = message.call_number;
                let bytes = encode(&grant_response(number, verdict));
                self.0.send_to(&bytes, from).await.expect("sent");
                return number;
            }
        }
    }

    /// Waits until the entry reports the end of a call.
    async fn wait_ended(&self, number: u32) {
        loop {
            let (message, _) = self.next().await;
            if message.call_number == number && matches!(message.kind, RequestKind::Ended { .. }) {
                return;
            }
        }
    }
}

/// The sidecar queues a call and then admits it. The engine must receive it
/// only after that, and the sidecar must be told of its first event and of its
/// end.
#[actix_rt::test]
async fn queued_call_sent_after_admission() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    let first = sidecar.answer_admission(Verdict::Queued(50)).await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert!(entry.servers.requests().is_empty());
    let again = sidecar.answer_admission(Verdict::Granted).await;
    assert_eq!(again, first);
    let mut started = false;
    loop {
        let (message, _) = sidecar.next().await;
        match message.kind {
            RequestKind::FirstEvent => started = true,
            RequestKind::Ended { .. } => break,
            RequestKind::Admission(_)
            | RequestKind::Lookup(_)
            | RequestKind::Fetching(_)
            | RequestKind::ServerGone { .. }
            | RequestKind::Rejected
            | RequestKind::Utilization => {}
        }
    }
    assert!(started);
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// All engines that are asked would take too long. The caller must get a
/// refusal with Retry-After at once, and no engine may receive the call.
#[actix_rt::test]
async fn call_refused_everywhere_not_sent() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    // A route of the lowest tier; calls of higher tiers wait instead.
    let caller = Rc::clone(&entry);
    entry.use_lowest_tier();
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    let refuse = async {
        loop {
            sidecar.answer_admission(Verdict::Refused(4_000)).await;
        }
    };
    let answer = tokio::select! {
        answer = call => answer.expect("an answer"),
        () = refuse => unreachable!("the sidecar answers until the call ends"),
    };
    assert_eq!(status(&answer), "503");
    assert!(answer.to_ascii_lowercase().contains("retry-after"));
    assert!(entry.servers.requests().is_empty());
}

/// Guards against refusing as late a caller that takes up a stream, and so has a part of it:
/// engines of its version may be the busiest.
#[actix_rt::test]
async fn taken_up_stream_refused_as_late() {
    let mut plan = Plan::new(CallKind::Resumable, 1, &[Action::Send(REMAINDER)]);
    plan.tier = 2;
    let (sidecar, entry) = Sidecar::start_plan(plan).await;
    let headers = format!("{PREFILL_CALL}resumes: 0\r\nlast-event: 1\r\n");
    let admit_forced = async {
        loop {
            let (message, from) = sidecar.next().await;
            let verdict = match message.kind {
                RequestKind::Admission(admission) if admission.forced => Verdict::Granted,
                RequestKind::Admission(_) => Verdict::Refused(4_000),
                _ => continue,
            };
            let bytes = encode(&grant_response(message.call_number, verdict));
            sidecar.0.send_to(&bytes, from).await.expect("sent");
        }
    };
    let answer = tokio::select! {
        answer = entry.call(&headers) => answer,
        () = admit_forced => unreachable!("the sidecar answers until the call ends"),
    };
    assert_eq!(status(&answer), "200");
}

/// The sidecar does not respond. The entry asks three times, which takes less
/// than 0.1 s, and then chooses by its local state. The next call must not ask
/// at all.
#[actix_rt::test]
async fn silent_sidecar_falls_back() {
    let (sidecar, entry) = Sidecar::start().await;
    assert_eq!(status(&entry.call(PREFILL_CALL).await), "200");
    let asked = std::iter::from_fn(|| {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, _) = sidecar.0.try_recv_from(&mut buffer).ok()?;
        decode::<GrantRequest>(&buffer[..length]).ok()
    });
    let expected = |a: &GrantRequest| matches!(a.kind, RequestKind::Admission(_));
    assert_eq!(asked.filter(expected).count(), 3);
    assert_eq!(status(&entry.call(PREFILL_CALL).await), "200");
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    assert!(sidecar.0.try_recv_from(&mut buffer).is_err());
}

/// A caller disconnects while its call is queued. The sidecar must be told, so
/// that the call does not occupy a slot.
#[actix_rt::test]
async fn disconnect_while_queued_reported() {
    let (sidecar, entry) = Sidecar::start().await;
    let mut caller = entry.connect().await;
    let sent = request(PREFILL_CALL, "");
    caller.write_all(sent.as_bytes()).await.expect("sent");
    let number = sidecar.answer_admission(Verdict::Queued(4_000)).await;
    drop(caller);
    sidecar.wait_ended(number).await;
    assert!(entry.servers.requests().is_empty());
}

/// The server starts leaving while a call is queued there. Once admitted, the
/// call must go to another server.
#[actix_rt::test]
async fn leaving_server_not_used() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    let (message, from) = sidecar.next().await;
    let RequestKind::Admission(admission) = message.kind else {
        panic!("not an admission request: {message:?}");
    };
    entry.mark_leaving(&admission.server);
    let granted = grant_response(message.call_number, Verdict::Granted);
    sidecar
        .0
        .send_to(&encode(&granted), from)
        .await
        .expect("sent");
    assert_eq!(status(&call.await.expect("an answer")), "200");
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert!(!requests[0].contains(&format!("server: {}", admission.server)));
}

/// Guards against a call that waits for an engine being sent after the entry was told to stop,
/// when its answer can't be passed on any more.
#[actix_rt::test]
async fn waiting_call_sent_late_in_grace() {
    let clock = ManualClock::new();
    let (sidecar, entry) = Sidecar::start_plan(Plan {
        timeout: Duration::from_secs(15),
        clock: Rc::new(clock.clone()),
        ..Plan::new(CallKind::Once, 1, &[])
    })
    .await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    sidecar.respond(Verdict::Queued(4_000), 0).await;
    entry.state.stop();
    clock.advance(Duration::from_secs(3));
    let answer = call.await.expect("an answer");
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "retry-after").is_some());
    assert!(entry.servers.requests().is_empty());
}

/// How the table of servers loses an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Removal {
    /// It lacks the engine, which may be called for a while if there is no other.
    Missing,
    /// The engine was missing for so long that it is forgotten.
    Forgotten,
}

impl Removal {
    fn apply(self, entry: &Entry, id: &str) {
        let now = entry.state.clock.now();
        let mut balancer = entry.state.balancer.borrow_mut();
        balancer.mark_missing(now, id, now + Duration::from_secs(60));
        if self == Self::Forgotten {
            balancer.forget_missing(now, Duration::ZERO);
        }
    }
}

/// Guards against a call that waits at an engine reaching it after the engine was removed from
/// the list: whether it is admitted then or goes on waiting, it is sent to another one.
#[rstest]
#[case::admitted(Verdict::Granted)]
#[case::queued(Verdict::Queued(4_000))]
#[actix_rt::test]
async fn waiting_call_reaches_removed_server(
    #[case] verdict: Verdict,
    #[values(Removal::Missing, Removal::Forgotten)] removal: Removal,
) {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    let (_, removed) = sidecar.respond(Verdict::Queued(4_000), 0).await;
    removal.apply(&entry, &removed);
    let admit_others = async {
        loop {
            let (message, from) = sidecar.next().await;
            let RequestKind::Admission(admission) = message.kind else {
                continue;
            };
            let verdict = match admission.server == removed {
                true => verdict,
                false => Verdict::Granted,
            };
            let bytes = encode(&grant_response(message.call_number, verdict));
            sidecar.0.send_to(&bytes, from).await.expect("sent");
        }
    };
    let answer = tokio::select! {
        answer = call => answer.expect("an answer"),
        () = admit_others => unreachable!("the sidecar answers until the call ends"),
    };
    assert_eq!(status(&answer), "200");
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert_ne!(header(&requests[0], "server"), Some(removed));
}

/// Guards against calls being sent to an engine whose sidecar reports that it
/// is leaving, before a response or the store has reported it.
#[actix_rt::test]
async fn leaving_reported_by_sidecar() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    let (_, leaving) = sidecar.respond(Verdict::Leaving, 0).await;
    sidecar.respond(Verdict::Granted, 0).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert!(!entry.state.balancer.borrow().accepts_calls(&leaving));
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert_ne!(header(&requests[0], "server"), Some(leaving));
}

/// A call with a prompt of which 13,300 tokens are shared.
const SHARED_PREFIX_CALL: &str =
    "call-id: 1\r\nprompt: 17000\r\noutput: 50\r\nparts: 7:13300,8:3700\r\n";

/// The first engine has the shared parts cached but is too busy. The second one
/// would have to prefill them. It must be told to fetch them, and its sidecar
/// must have been told how much can be fetched.
#[actix_rt::test]
async fn fetch_from_refusing_engine() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(SHARED_PREFIX_CALL).await });
    let (_, first) = sidecar.respond(Verdict::Refused(4_000), 13_300).await;
    let (what, second) = sidecar.respond(Verdict::Granted, 0).await;
    assert!(matches!(what, RequestKind::Admission(admission) if admission.remote_tokens == 13_300));
    assert_eq!(status(&call.await.expect("an answer")), "200");
    let requests = entry.servers.requests();
    assert_eq!(header(&requests[0], "server"), Some(second));
    let holder = entry.state.balancer.borrow().addr(&first);
    let holder = holder.map(|a| a.to_string());
    assert_eq!(header(&requests[0], "fetch"), holder);
}

/// The first engine admits the call and has nothing cached, as after a restart.
/// The next one, which gets the overflow of bursts, is asked for its cached
/// prefix. What it has must be fetched, and the first engine's sidecar must be
/// told that less prefill is needed.
#[rstest]
#[case::held(13_300, true)]
#[case::not_held(0, false)]
#[actix_rt::test]
async fn fetch_from_looked_up_engine(#[case] held: u32, #[case] fetched: bool) {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(SHARED_PREFIX_CALL).await });
    let (_, first) = sidecar.respond(Verdict::Granted, 0).await;
    let (what, second) = sidecar.respond(Verdict::Acknowledged, held).await;
    assert!(matches!(what, RequestKind::Lookup(_)));
    assert_ne!(first, second);
    let told = loop {
        match sidecar.next().await.0.kind {
            RequestKind::Fetching(source) => break Some(source),
            RequestKind::Ended { .. } => break None,
            _ => {}
        }
    };
    assert_eq!(told, fetched.then_some(held));
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(
        header(&entry.servers.requests()[0], "fetch").is_some(),
        fetched
    );
}

/// The other sidecar does not respond to a lookup. The call must proceed at the
/// cost of one prefill instead of waiting.
#[actix_rt::test]
async fn silent_lookup_does_not_block() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(SHARED_PREFIX_CALL).await });
    sidecar.respond(Verdict::Granted, 0).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(header(&entry.servers.requests()[0], "fetch"), None);
}

/// The engine has restarted under another ID and rejects a call that was meant
/// for the earlier incarnation. The sidecar must be told before the call is
/// sent on, so that other entries need not find out by rejected calls.
#[actix_rt::test]
async fn wrong_incarnation_reported_to_sidecar() {
    let actions = [Action::Send(WRONG_SERVER), Action::Send(OK)];
    let (sidecar, entry) = Sidecar::start_with(&actions).await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    let mut intended = None;
    let gone = loop {
        let (message, from) = sidecar.next().await;
        match message.kind {
            RequestKind::Admission(admission) => {
                intended = intended.or(Some(admission.server));
                let bytes = encode(&grant_response(message.call_number, Verdict::Granted));
                sidecar.0.send_to(&bytes, from).await.expect("sent");
            }
            RequestKind::ServerGone { server, .. } => break server,
            _ => {}
        }
    };
    assert_eq!(Some(gone), intended);
    sidecar.answer_admission(Verdict::Granted).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
}

/// The sidecar knows that the incarnation in the entry's server list has ended.
/// The call must go to another engine without reaching this one, and must not
/// take a retry: one for each entry and engine would exhaust the budget.
#[actix_rt::test]
async fn ended_incarnation_takes_no_retry() {
    let (sidecar, entry) = Sidecar::start_with(&[Action::Send(OK)]).await;
    let entry = Rc::new(entry);
    // Takes all of them, so that none is left for the call.
    entry.take_all_retries();
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(PREFILL_CALL).await });
    sidecar.answer_admission(Verdict::ServerGone).await;
    sidecar.answer_admission(Verdict::Granted).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// The latency target of the next test's route.
const TARGET: Duration = Duration::from_secs(2);

/// Callers have timeouts of their own. One with nine tenths of the route's
/// timeout makes its first attempt, and its first event may take half of the
/// target. Taken for a retry, it would be refused although an engine could
/// still serve it in time. Only a caller whose timeout is shorter than the
/// route's by more than the target has certainly spent the target before.
#[rstest]
#[case::patient(5_000, true)]
#[case::less_patient(4_500, true)]
#[case::retry(2_000, false)]
#[actix_rt::test]
async fn short_caller_timeout_is_no_retry(#[case] patience_ms: u64, #[case] first_attempt: bool) {
    let mut plan = Plan::new(CallKind::Once, 1, &[]);
    // Long enough that a stall of the machine does not matter.
    plan.target = TARGET;
    let (sidecar, entry) = Sidecar::start_plan(plan).await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let headers = format!("{PREFILL_CALL}patience-ms: {patience_ms}\r\n");
    let call = actix_rt::spawn(async move { caller.call(&headers).await });
    let (message, from) = sidecar.next().await;
    let RequestKind::Admission(admission) = message.kind else {
        panic!("not an admission request: {message:?}");
    };
    // The limit is half of the target less the call's age for a first attempt,
    // and three tenths of the target for a retry.
    let late_ms = u32::try_from((TARGET * 3 / 10).as_millis()).expect("fits into u32");
    assert_eq!(
        admission.first_event_ms > late_ms,
        first_attempt,
        "{}",
        admission.first_event_ms
    );
    let bytes = encode(&grant_response(message.call_number, Verdict::Granted));
    sidecar.0.send_to(&bytes, from).await.expect("sent");
    assert_eq!(status(&call.await.expect("an answer")), "200");
}
