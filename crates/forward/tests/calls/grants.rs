//! Calls for engines beside which a sidecar says when they may come.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use forward::grants::SidecarClient;
use policy::routes::CallKind;
use tokio::io::AsyncWriteExt;
use tokio::net::UdpSocket;
use wire::grants::{
    GrantRequest, GrantResponse, MAX_DATAGRAM_BYTES, RequestKind, Verdict, decode, encode,
};

use rstest::rstest;

use crate::common::{Act, ELSEWHERE, ENGINES, Entry, OK, Plan, field, request, status};

/// A call whose time goes into reading its prompt.
const READS: &str = "call-id: 1\r\nprompt: 3000\r\noutput: 50\r\n";

/// An answer of a sidecar whose engine holds nothing.
fn answer(call_number: u32, verdict: Verdict) -> GrantResponse {
    GrantResponse {
        call_number,
        verdict,
        cached_tokens: 0,
        prefer_fetch: false,
    }
}

/// A sidecar that answers as its test says.
struct Sidecar(UdpSocket);

impl Sidecar {
    /// Starts an entry before two engines with this one sidecar.
    async fn start() -> (Self, Entry) {
        Self::start_with(&[]).await
    }

    /// The same where the engines do as they are told first.
    async fn start_with(acts: &[Act]) -> (Self, Entry) {
        Self::start_by(Plan::new(CallKind::Once, 1, acts)).await
    }

    /// The same by any plan.
    async fn start_by(mut plan: Plan) -> (Self, Entry) {
        let socket = UdpSocket::bind((ENGINES, 0)).await.expect("a port");
        let port = socket.local_addr().expect("an address").port();
        plan.engine = true;
        let entry = Entry::start(plan).await;
        let own = SocketAddr::from(([127, 0, 0, 1], port));
        let sidecars = SidecarClient::bind(own).await.expect("the same port");
        *entry.state.sidecars.borrow_mut() = Some(sidecars);
        (Self(socket), entry)
    }

    /// The next message, and where it came from.
    async fn next(&self) -> (GrantRequest, SocketAddr) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, from) = self.0.recv_from(&mut buffer).await.expect("a message");
        (decode(&buffer[..length]).expect("understood"), from)
    }

    /// Answers the next wish or look, of which it returns the server.
    async fn say(&self, verdict: Verdict, cached_tokens: u32) -> (RequestKind, String) {
        loop {
            let (ask, from) = self.next().await;
            let server = match &ask.kind {
                RequestKind::Admission(want) => want.server.clone(),
                RequestKind::Lookup(look) => look.server.clone(),
                _ => continue,
            };
            let said = GrantResponse {
                cached_tokens,
                prefer_fetch: true,
                ..answer(ask.call_number, verdict)
            };
            self.0.send_to(&encode(&said), from).await.expect("sent");
            return (ask.kind, server);
        }
    }

    /// Answers the next wish and passes over anything else.
    async fn answer(&self, verdict: Verdict) -> u32 {
        loop {
            let (ask, from) = self.next().await;
            if matches!(ask.kind, RequestKind::Admission(_)) {
                let number = ask.call_number;
                let bytes = encode(&answer(number, verdict));
                self.0.send_to(&bytes, from).await.expect("sent");
                return number;
            }
        }
    }

    /// Waits until the entry says that a call has ended.
    async fn ended(&self, number: u32) {
        loop {
            let (ask, _) = self.next().await;
            if ask.call_number == number && matches!(ask.kind, RequestKind::Ended { .. }) {
                return;
            }
        }
    }
}

/// The sidecar has a call wait and then lets it in. Only then the engine gets
/// it, and the sidecar is told of its first bytes and of its end.
#[actix_rt::test]
async fn queued_sent_when_let_in() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(READS).await });
    let first = sidecar.answer(Verdict::Queued(50)).await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert!(entry.servers.requests().is_empty());
    let again = sidecar.answer(Verdict::Granted).await;
    assert_eq!(again, first);
    let mut begun = false;
    loop {
        let (ask, _) = sidecar.next().await;
        match ask.kind {
            RequestKind::FirstEvent => begun = true,
            RequestKind::Ended { .. } => break,
            RequestKind::Admission(_)
            | RequestKind::Lookup(_)
            | RequestKind::Fetching(_)
            | RequestKind::ServerGone { .. }
            | RequestKind::Utilization => {}
        }
    }
    assert!(begun);
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// All engines that are asked would take too long. The caller is told at once
/// that its call has not run and when to come back, and no engine sees it.
#[actix_rt::test]
async fn refused_everywhere_not_sent() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    // A route of the lowest tier; those above wait instead.
    let caller = Rc::clone(&entry);
    entry.lower_tier();
    let call = actix_rt::spawn(async move { caller.call(READS).await });
    let refuse = async {
        loop {
            sidecar.answer(Verdict::Refused(4_000)).await;
        }
    };
    let answer = tokio::select! {
        answer = call => answer.expect("an answer"),
        () = refuse => unreachable!("it answers for ever"),
    };
    assert_eq!(status(&answer), "503");
    assert!(answer.to_ascii_lowercase().contains("retry-after"));
    assert!(entry.servers.requests().is_empty());
}

/// The sidecar is gone. The entry asks a few times within a tenth of a second
/// and then goes by itself; the next call does not ask at all.
#[actix_rt::test]
async fn silent_entry_decides() {
    let (sidecar, entry) = Sidecar::start().await;
    assert_eq!(status(&entry.call(READS).await), "200");
    let asked = std::iter::from_fn(|| {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, _) = sidecar.0.try_recv_from(&mut buffer).ok()?;
        decode::<GrantRequest>(&buffer[..length]).ok()
    });
    let wanted = |a: &GrantRequest| matches!(a.kind, RequestKind::Admission(_));
    assert_eq!(asked.filter(wanted).count(), 3);
    assert_eq!(status(&entry.call(READS).await), "200");
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    assert!(sidecar.0.try_recv_from(&mut buffer).is_err());
}

/// A caller leaves while its call waits for its turn. The sidecar is told, so
/// that the call takes nobody's place.
#[actix_rt::test]
async fn left_while_queued() {
    let (sidecar, entry) = Sidecar::start().await;
    let mut caller = entry.connect().await;
    let sent = request(READS, "");
    caller.write_all(sent.as_bytes()).await.expect("sent");
    let number = sidecar.answer(Verdict::Queued(4_000)).await;
    drop(caller);
    sidecar.ended(number).await;
    assert!(entry.servers.requests().is_empty());
}

/// The server leaves while a call waits for its turn there. Let in, the call
/// goes to another server all the same.
#[actix_rt::test]
async fn left_server_not_used() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(READS).await });
    let (ask, from) = sidecar.next().await;
    let RequestKind::Admission(want) = ask.kind else {
        panic!("not a wish: {ask:?}");
    };
    entry.leave(&want.server);
    let granted = answer(ask.call_number, Verdict::Granted);
    sidecar
        .0
        .send_to(&encode(&granted), from)
        .await
        .expect("sent");
    assert_eq!(status(&call.await.expect("an answer")), "200");
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert!(!requests[0].contains(&format!("server: {}", want.server)));
}

/// Guards against calls being sent to an engine of which its sidecar says that it
/// leaves, as long as no answer and not the store have said so.
#[actix_rt::test]
async fn leaving_by_the_sidecar() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(READS).await });
    let (_, leaving) = sidecar.say(Verdict::Leaving, 0).await;
    sidecar.say(Verdict::Granted, 0).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert!(!entry.state.balancer.borrow().accepts_calls(&leaving));
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert_ne!(field(&requests[0], "server"), Some(leaving));
}

/// A prompt of which 13,300 tokens are shared.
const SHARES: &str = "call-id: 1\r\nprompt: 17000\r\noutput: 50\r\nparts: 7:13300,8:3700\r\n";

/// The first engine holds the shared parts and is too busy; the second has
/// room and would read them all again. It is told to fetch them, and its
/// sidecar has counted on that.
#[actix_rt::test]
async fn fetched_from_who_refused() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(SHARES).await });
    let (_, first) = sidecar.say(Verdict::Refused(4_000), 13_300).await;
    let (what, second) = sidecar.say(Verdict::Granted, 0).await;
    assert!(matches!(what, RequestKind::Admission(want) if want.remote_tokens == 13_300));
    assert_eq!(status(&call.await.expect("an answer")), "200");
    let requests = entry.servers.requests();
    assert_eq!(field(&requests[0], "server"), Some(second));
    let holder = entry.state.balancer.borrow().addr(&first);
    let holder = holder.map(|a| a.to_string());
    assert_eq!(field(&requests[0], "fetch"), holder);
}

/// The first engine has room and holds nothing, as after its restart. The
/// next one, where bursts spill, is asked what it holds; what it has is
/// fetched, and the first one's sidecar learns that less is to be read.
#[rstest]
#[case::held(13_300, true)]
#[case::not_held(0, false)]
#[actix_rt::test]
async fn fetched_from_who_holds(#[case] held: u32, #[case] fetched: bool) {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(SHARES).await });
    let (_, first) = sidecar.say(Verdict::Granted, 0).await;
    let (what, second) = sidecar.say(Verdict::Acknowledged, held).await;
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
        field(&entry.servers.requests()[0], "fetch").is_some(),
        fetched
    );
}

/// The holder's sidecar says nothing to a look. Not knowing costs one read,
/// never a wait.
#[actix_rt::test]
async fn silent_look_costs_a_read() {
    let (sidecar, entry) = Sidecar::start().await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(SHARES).await });
    sidecar.say(Verdict::Granted, 0).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(field(&entry.servers.requests()[0], "fetch"), None);
}

/// The engine has started again under another name and refuses the call as
/// meant for its earlier life. The sidecar is told before the call goes on, so
/// that the calls of all other entries need not find out by themselves.
#[actix_rt::test]
async fn refusal_of_another_life_is_told() {
    let acts = [Act::Send(ELSEWHERE), Act::Send(OK)];
    let (sidecar, entry) = Sidecar::start_with(&acts).await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(READS).await });
    let mut meant = None;
    let gone = loop {
        let (ask, from) = sidecar.next().await;
        match ask.kind {
            RequestKind::Admission(want) => {
                meant = meant.or(Some(want.server));
                let bytes = encode(&answer(ask.call_number, Verdict::Granted));
                sidecar.0.send_to(&bytes, from).await.expect("sent");
            }
            RequestKind::ServerGone { server, .. } => break server,
            _ => {}
        }
    };
    assert_eq!(Some(gone), meant);
    sidecar.answer(Verdict::Granted).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
}

/// The sidecar knows that the life which the entry's list shows has ended. The
/// call goes to another engine without a trip to this one, and takes no repeat
/// from the budget, which one for each entry and engine would use up.
#[actix_rt::test]
async fn ended_life_costs_no_repeat() {
    let (sidecar, entry) = Sidecar::start_with(&[Act::Send(OK)]).await;
    let entry = Rc::new(entry);
    // Takes them all, so that none is left for the call.
    entry.repeats_left();
    let caller = Rc::clone(&entry);
    let call = actix_rt::spawn(async move { caller.call(READS).await });
    sidecar.answer(Verdict::ServerGone).await;
    sidecar.answer(Verdict::Granted).await;
    assert_eq!(status(&call.await.expect("an answer")), "200");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// What callers of the next test's route want.
const TARGET: Duration = Duration::from_secs(2);

/// Callers bring unlike patience of their own. One with nine tenths of the
/// route's timeout has just come, and its first event may take half of the
/// target. Taken for one that was turned away before, it would be refused where
/// an engine could still serve it in time. Only one whose missing time is more
/// than the target has certainly spent it.
#[rstest]
#[case::patient(5_000, true)]
#[case::less_patient(4_500, true)]
#[case::came_back(2_000, false)]
#[actix_rt::test]
async fn own_patience_is_no_return(#[case] patience_ms: u64, #[case] fresh: bool) {
    let mut plan = Plan::new(CallKind::Once, 1, &[]);
    // So long that no stall of the machine takes a part of it that matters.
    plan.target = TARGET;
    let (sidecar, entry) = Sidecar::start_by(plan).await;
    let entry = Rc::new(entry);
    let caller = Rc::clone(&entry);
    let headers = format!("{READS}patience-ms: {patience_ms}\r\n");
    let call = actix_rt::spawn(async move { caller.call(&headers).await });
    let (ask, from) = sidecar.next().await;
    let RequestKind::Admission(want) = ask.kind else {
        panic!("not a wish: {ask:?}");
    };
    // Half of the target less the call's age, or three tenths of the target.
    let late_ms = u32::try_from((TARGET * 3 / 10).as_millis()).expect("small");
    assert_eq!(
        want.first_event_ms > late_ms,
        fresh,
        "{}",
        want.first_event_ms
    );
    let bytes = encode(&answer(ask.call_number, Verdict::Granted));
    sidecar.0.send_to(&bytes, from).await.expect("sent");
    assert_eq!(status(&call.await.expect("an answer")), "200");
}
