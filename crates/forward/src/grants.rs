//! Asking the sidecar beside an engine whether a call may be sent there now.
//!
//! A sidecar that says nothing, since it or its link is gone, decides nothing:
//! the entry goes by its own estimate until it is heard again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Incarnation;
use policy::balance::ServerRecord;
use spdlog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use wire::grants::{self, AdmissionRequest, GrantResponse, PrefixLookup, RequestKind, Verdict};

/// How long an answer is waited for before the question is sent again. It
/// takes a millisecond or two each way and some of a thin host's processor.
const ANSWER: Duration = Duration::from_millis(20);

/// The same once the sidecar has the call in its queue.
const QUEUED: Duration = Duration::from_millis(100);

/// How long an answer to a look is waited for, once: reading a prompt costs
/// little more.
const LOOK: Duration = Duration::from_millis(10);

/// How long an answer is waited for that says how busy an engine is. No caller
/// waits for it.
const BUSY: Duration = Duration::from_millis(200);

/// Questions without any answer after which a sidecar counts as silent.
const TRIES: u32 = 3;

/// How long a silent sidecar is not asked; it doubles each time. A call that
/// asks in vain has lost 60 ms.
const SILENT_FIRST: Duration = Duration::from_secs(1);

/// The longest time for which a silent sidecar is not asked.
const SILENT_MOST: Duration = Duration::from_secs(8);

/// The pause after a socket's failure.
const RETRY: Duration = Duration::from_millis(20);

/// The sidecars, as an entry talks to them.
#[derive(Debug)]
pub struct SidecarClient {
    socket: UdpSocket,
    /// The port at which each of them listens on its engine's host.
    port: u16,
    incarnation: u64,
    next: Cell<u32>,
    /// Calls that wait for an answer, by their numbers.
    asked: RefCell<HashMap<u32, UnboundedSender<GrantResponse>>>,
    /// Sidecars that said nothing, by their hosts.
    silent: RefCell<HashMap<IpAddr, Silence>>,
}

#[derive(Debug, Clone, Copy)]
struct Silence {
    times: u32,
    until: Instant,
}

/// What a sidecar has decided.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// The call may be sent.
    Granted(Grant, CachedPrefix),
    /// Its first event would take this long.
    Refused(Duration, CachedPrefix),
    /// The life of the engine that was meant has ended.
    ServerGone,
    /// The engine is about to end and takes no new calls.
    Leaving,
    /// The sidecar says nothing.
    NoResponse,
}

/// What an engine holds of a call's prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Tokens from the prompt's start.
    pub tokens: u32,
    /// Whether the engine should rather fetch the others than read them.
    pub prefer_fetch: bool,
}

/// The right to send one call to one engine. Dropping it tells the sidecar
/// that the call has ended or will not come.
#[derive(Debug)]
pub struct Grant {
    sidecars: Rc<SidecarClient>,
    to: SocketAddr,
    number: u32,
    /// The longest pause between two events of its stream.
    pause: Cell<Duration>,
}

impl Grant {
    /// Tells the sidecar that the call has its first event.
    pub fn report_first_event(&self) {
        self.sidecars
            .tell(self.to, self.number, RequestKind::FirstEvent);
    }

    /// Tells the sidecar that the call fetches what another engine holds of
    /// the first `source` tokens of its prompt.
    pub fn report_fetch(&self, source: u32) {
        self.sidecars
            .tell(self.to, self.number, RequestKind::Fetching(source));
    }

    /// Tells the sidecar that the engine has refused the call as meant for
    /// another life than `server`.
    pub fn report_gone(&self, server: &ServerRecord) {
        let gone = RequestKind::ServerGone {
            server: server.id.to_string(),
            started_ms: server.started_ms,
        };
        self.sidecars.tell(self.to, self.number, gone);
    }

    /// Notes a pause between two events of its stream.
    pub fn record_gap(&self, pause: Duration) {
        self.pause.set(self.pause.get().max(pause));
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.sidecars.asked.borrow_mut().remove(&self.number);
        let pause = self.pause.get().as_millis();
        let pause_ms = u32::try_from(pause).unwrap_or(u32::MAX);
        self.sidecars
            .tell(self.to, self.number, RequestKind::Ended { pause_ms });
    }
}

/// Forgets a question once it is answered or nobody waits for it any more;
/// callers that leave meanwhile would otherwise each leave an entry behind.
struct Looking<'a> {
    sidecars: &'a SidecarClient,
    number: u32,
}

impl Drop for Looking<'_> {
    fn drop(&mut self) {
        self.sidecars.asked.borrow_mut().remove(&self.number);
    }
}

impl SidecarClient {
    /// Binds to `addr`, on whose port the sidecars listen too.
    ///
    /// # Errors
    ///
    /// Returns the error when the address cannot be used.
    pub async fn bind(addr: SocketAddr) -> io::Result<Rc<Self>> {
        let sidecars = Rc::new(Self {
            socket: UdpSocket::bind(addr).await?,
            port: addr.port(),
            incarnation: Incarnation::random().0,
            next: Cell::new(0),
            asked: RefCell::default(),
            silent: RefCell::default(),
        });
        actix_rt::spawn(Rc::clone(&sidecars).listen());
        Ok(sidecars)
    }

    /// Asks the sidecar beside `server` and waits until it has decided.
    pub async fn request_admission(
        self: &Rc<Self>,
        now: Instant,
        server: &ServerRecord,
        want: AdmissionRequest,
    ) -> AdmissionDecision {
        let host = server.addr.ip();
        if self
            .silent
            .borrow()
            .get(&host)
            .is_some_and(|s| now < s.until)
        {
            return AdmissionDecision::NoResponse;
        }
        let (number, mut answers) = self.asking();
        // Also tells the sidecar when the caller leaves while it waits.
        let grant = Grant {
            sidecars: Rc::clone(self),
            to: SocketAddr::new(host, self.port),
            number,
            pause: Cell::default(),
        };
        let Some(answer) = self.decide(&grant, &want, &mut answers).await else {
            self.note_silent(now, host);
            return AdmissionDecision::NoResponse;
        };
        self.silent.borrow_mut().remove(&host);
        let held = CachedPrefix {
            tokens: answer.cached_tokens,
            prefer_fetch: answer.prefer_fetch,
        };
        match answer.verdict {
            Verdict::Granted => AdmissionDecision::Granted(grant, held),
            Verdict::Refused(ms) | Verdict::Queued(ms) => {
                AdmissionDecision::Refused(Duration::from_millis(u64::from(ms)), held)
            }
            Verdict::ServerGone => AdmissionDecision::ServerGone,
            Verdict::Leaving => AdmissionDecision::Leaving,
            Verdict::Acknowledged | Verdict::Utilization(_) => AdmissionDecision::NoResponse,
        }
    }

    /// How many tokens from the start of a prompt the engine beside a sidecar
    /// holds; 0 when the sidecar does not say so at once.
    pub async fn lookup_prefix(&self, server: &ServerRecord, prompt_parts: Vec<(u64, u32)>) -> u32 {
        let (number, mut answers) = self.asking();
        let _open = Looking {
            sidecars: self,
            number,
        };
        let look = PrefixLookup {
            server: server.id.to_string(),
            prompt_parts,
        };
        let to = SocketAddr::new(server.addr.ip(), self.port);
        self.tell(to, number, RequestKind::Lookup(look));
        let answer = tokio::time::timeout(LOOK, answers.recv()).await;
        answer.ok().flatten().map_or(0, |a| a.cached_tokens)
    }

    /// The part of its time, slots or memory that calls take of the engine
    /// beside the sidecar on `host`; none when the sidecar does not say.
    pub async fn utilization(&self, host: IpAddr) -> Option<f64> {
        let (number, mut answers) = self.asking();
        let _open = Looking {
            sidecars: self,
            number,
        };
        self.tell(
            SocketAddr::new(host, self.port),
            number,
            RequestKind::Utilization,
        );
        let answer = tokio::time::timeout(BUSY, answers.recv()).await;
        match answer.ok().flatten()?.verdict {
            Verdict::Utilization(thousandths) => Some(f64::from(thousandths) / 1e3),
            _ => None,
        }
    }

    /// The number of a new question, and where its answers come.
    fn asking(&self) -> (u32, UnboundedReceiver<GrantResponse>) {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let (sender, answers) = unbounded_channel();
        self.asked.borrow_mut().insert(number, sender);
        (number, answers)
    }

    /// The sidecar's last word; none when it says nothing.
    async fn decide(
        &self,
        grant: &Grant,
        want: &AdmissionRequest,
        answers: &mut UnboundedReceiver<GrantResponse>,
    ) -> Option<GrantResponse> {
        let mut wait = ANSWER;
        let mut tries = 0;
        while tries < TRIES {
            self.tell(grant.to, grant.number, RequestKind::Admission(want.clone()));
            tries += 1;
            match tokio::time::timeout(wait, answers.recv()).await {
                Err(_) => {}
                Ok(Some(answer)) if queued(&answer) => {
                    wait = QUEUED;
                    tries = 0;
                    // What follows is the end of the wait, or nothing until
                    // it is time to ask again.
                    match tokio::time::timeout(wait, answers.recv()).await {
                        Err(_) => {}
                        Ok(Some(answer)) if queued(&answer) => {}
                        Ok(last) => return last,
                    }
                }
                Ok(last) => return last,
            }
        }
        None
    }

    fn note_silent(&self, now: Instant, host: IpAddr) {
        let mut silent = self.silent.borrow_mut();
        let times = silent.get(&host).map_or(0, |s| s.times);
        let doubled = SILENT_FIRST.saturating_mul(1 << times.min(8));
        let until = now + doubled.min(SILENT_MOST);
        silent.insert(
            host,
            Silence {
                times: times + 1,
                until,
            },
        );
        info!("sidecar silent", kv: { host = host.to_string().as_str(), times = times + 1 });
    }

    fn tell(&self, to: SocketAddr, call_number: u32, kind: RequestKind) {
        let ask = grants::GrantRequest {
            incarnation: self.incarnation,
            call_number,
            kind,
        };
        // One that cannot be sent is like one that is lost.
        let _ = self.socket.try_send_to(&grants::encode(&ask), to);
    }

    async fn listen(self: Rc<Self>) {
        let mut buffer = vec![0; grants::MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(got) => got,
                Err(e) => {
                    // A host without a sidecar refuses; whoever asked it is
                    // not answered in time.
                    metrics::counter!("pimentocart_grant_errors_total").increment(1);
                    if e.kind() != io::ErrorKind::ConnectionRefused {
                        tokio::time::sleep(RETRY).await;
                    }
                    continue;
                }
            };
            match grants::decode::<GrantResponse>(&buffer[..length]) {
                Ok(answer) => {
                    if let Some(asker) = self.asked.borrow().get(&answer.call_number) {
                        // A call that is answered already waits no more.
                        let _ = asker.send(answer);
                    }
                }
                Err(e) => warn!("message not understood", kv: {
                    peer = from.to_string().as_str(), cause = e.to_string().as_str()
                }),
            }
        }
    }
}

fn queued(answer: &GrantResponse) -> bool {
    matches!(answer.verdict, Verdict::Queued(_))
}
