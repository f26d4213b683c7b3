//! Urgent calls to engines that are full of other calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use forward::grants::SidecarClient;
use policy::routes::CallKind;
use rstest::rstest;
use tokio::net::UdpSocket;
use wire::grants::{
    AdmissionRequest, GrantRequest, GrantResponse, MAX_DATAGRAM_BYTES, RequestKind, Verdict,
    decode, encode,
};

use crate::common::{ENGINES, Entry, Plan, status};

/// A call dominated by the prefill of its prompt, whose parts nothing shares.
const PROMPT_CALL: &str = "call-id: 1\r\nprompt: 3000\r\noutput: 50\r\n";

/// A wait beyond all limits of the calls here, in milliseconds.
const TOO_LONG_MS: u32 = 4_000;

/// Starts an entry with eight engines whose sidecars decide by `decide`.
async fn start(plan: Plan, decide: impl Fn(&AdmissionRequest) -> Verdict + 'static) -> Rc<Entry> {
    let socket = UdpSocket::bind((ENGINES, 0)).await.expect("a port");
    let port = socket.local_addr().expect("an address").port();
    let entry = Entry::start(Plan {
        engine: true,
        services: &["app"; 8],
        versions: &[""; 8],
        ..plan
    })
    .await;
    let own = UdpSocket::bind(("127.0.0.1", port)).await;
    let sidecars = SidecarClient::new(own.expect("the same port"), port);
    *entry.state.sidecars.borrow_mut() = Some(sidecars);
    actix_rt::spawn(async move {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = socket.recv_from(&mut buffer).await.expect("a message");
            let message: GrantRequest = decode(&buffer[..length]).expect("a valid message");
            let RequestKind::Admission(admission) = message.kind else {
                continue;
            };
            let response = GrantResponse {
                call_number: message.call_number,
                verdict: decide(&admission),
                cached_tokens: 0,
                prefer_fetch: false,
                event_us: 0,
                free_tokens: 0,
            };
            let sent = socket.send_to(&encode(&response), from).await;
            sent.expect("sent");
        }
    });
    Rc::new(entry)
}

/// Guards against refusing an urgent call because the engines that were asked first are
/// full, while others would admit it.
#[actix_rt::test]
async fn urgent_call_refused_though_engines_are_free() {
    let full = RefCell::new(BTreeSet::new());
    let entry = start(Plan::new(CallKind::Once, 1, &[]), move |admission| {
        let mut full = full.borrow_mut();
        if full.len() < 4 {
            full.insert(admission.server.clone());
        }
        match full.contains(&admission.server) {
            true => Verdict::Refused(TOO_LONG_MS),
            false => Verdict::Granted,
        }
    })
    .await;
    assert_eq!(status(&entry.call(PROMPT_CALL).await), "200");
}

/// Guards against an urgent call waiting until its deadline at the one engine that had to
/// admit it and does not keep its time, while others admit calls at once.
#[actix_rt::test]
async fn urgent_call_stays_at_stalled_engine() {
    let stalled = Rc::new(RefCell::new(None));
    let others_free = Rc::new(Cell::new(false));
    let (queued_at, free) = (Rc::clone(&stalled), Rc::clone(&others_free));
    let mut plan = Plan::new(CallKind::Once, 1, &[]);
    plan.timeout = Duration::from_secs(3);
    let entry = start(plan, move |admission| {
        let mut queued_at = queued_at.borrow_mut();
        if admission.forced && queued_at.is_none() {
            *queued_at = Some(admission.server.clone());
        }
        match free.get() && *queued_at != Some(admission.server.clone()) {
            true => Verdict::Granted,
            false if admission.forced => Verdict::Queued(100),
            false => Verdict::Refused(400),
        }
    })
    .await;
    let caller = Rc::clone(&entry);
    let waiting = actix_rt::spawn(async move { caller.call(PROMPT_CALL).await });
    while stalled.borrow().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    others_free.set(true);
    let mut waiting = std::pin::pin!(waiting);
    // Calls that are admitted elsewhere show where there is room.
    let answer = loop {
        tokio::select! {
            answer = &mut waiting => break answer.expect("an answer"),
            other = entry.call("call-id: 2\r\nprompt: 3000\r\noutput: 50\r\n") => {
                assert_eq!(status(&other), "200");
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(status(&answer), "200");
}

/// Guards against accepting an urgent call that an engine would take after its caller has
/// left: the caller gets nothing in all that time, and no refusal with a time to return.
#[rstest]
#[case::stays(None, "200")]
#[case::leaves_later(Some(Duration::from_secs(4)), "200")]
#[case::leaves_before(Some(Duration::from_millis(1_500)), "503")]
#[actix_rt::test]
async fn urgent_call_accepted_after_its_caller_leaves(
    #[case] event_timeout: Option<Duration>,
    #[case] expected: &str,
) {
    let plan = Plan {
        event_timeout,
        ..Plan::new(CallKind::Once, 1, &[])
    };
    let entry = start(plan, |admission| match admission.forced {
        true => Verdict::Granted,
        false => Verdict::Refused(1_000),
    })
    .await;
    assert_eq!(status(&entry.call(PROMPT_CALL).await), expected);
}

/// Guards against a call being lost to engines that take none: others are asked in their
/// place, also for a call of a low tier.
#[rstest]
#[case::high_tier(1)]
#[case::low_tier(2)]
#[actix_rt::test]
async fn closed_engines_use_up_the_search(#[case] tier: u8) {
    let plan = Plan {
        tier,
        ..Plan::new(CallKind::Once, 1, &[])
    };
    let closed = RefCell::new(BTreeSet::new());
    let entry = start(plan, move |admission| {
        let mut closed = closed.borrow_mut();
        if closed.len() < 6 {
            closed.insert(admission.server.clone());
        }
        match closed.contains(&admission.server) {
            true => Verdict::Closed(300),
            false => Verdict::Granted,
        }
    })
    .await;
    assert_eq!(status(&entry.call(PROMPT_CALL).await), "200");
}

/// Guards against refusing a call because the engine at which it was queued refuses it after
/// all: the next engine is asked, as after a refusal at once.
#[rstest]
#[case::high_tier(1)]
#[case::low_tier(2)]
#[actix_rt::test]
async fn call_refused_from_queue_is_lost(#[case] tier: u8) {
    let plan = Plan {
        tier,
        ..Plan::new(CallKind::Once, 1, &[])
    };
    let first = RefCell::new(None);
    let requests = Cell::new(0);
    let entry = start(plan, move |admission| {
        let mut first = first.borrow_mut();
        if *first.get_or_insert_with(|| admission.server.clone()) != admission.server {
            return Verdict::Granted;
        }
        requests.set(requests.get() + 1);
        match requests.get() {
            1 => Verdict::Queued(50),
            _ => Verdict::Refused(TOO_LONG_MS),
        }
    })
    .await;
    assert_eq!(status(&entry.call(PROMPT_CALL).await), "200");
}
