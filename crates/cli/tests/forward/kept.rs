//! Callers that keep their connections open until the entry is gone, and slow callers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::caller::READ_TIMEOUT;
use crate::platform::header;
use crate::soak::{SeedResult, check_answer};

const KINDS: [&str; 4] = ["once", "safe", "stream", "engine"];

/// Largest body that the entries accept, less some room, in bytes.
const BIG_BODY: usize = 1_000_000;

/// Largest answer that callers ask for, in bytes, and how long they may wait before they
/// read it, in milliseconds.
const BIG_ANSWER: usize = 2_000_000;
const READ_PAUSE_MS: u64 = 1500;

/// What a slow caller announces and sends of its body, in bytes.
const SLOW_BODY: usize = 1_048_576;
const SLOW_SENT: usize = 1_000_000;

/// A request that was sent whole and that has no complete answer.
#[derive(Debug, Clone)]
pub(crate) struct Lost {
    pub(crate) entry: usize,
    pub(crate) id: String,
    pub(crate) opened: Instant,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: End,
    /// Whether the answer to a request before it was cut or said that the connection closes.
    pub(crate) told: bool,
}

/// How the answer to a request that was sent whole ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The connection was closed before the answer began.
    Closed,
    /// The answer is cut off.
    Cut,
    /// There was no answer for [`READ_TIMEOUT`].
    Late,
}

/// What callers have seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) result: SeedResult,
    pub(crate) lost: Vec<Lost>,
}

impl Seen {
    pub(crate) fn add(&mut self, other: Self) {
        self.result.answers += other.result.answers;
        self.result.refused.extend(other.result.refused);
        self.result.errors.extend(other.result.errors);
        self.lost.extend(other.lost);
    }
}

/// Longest time between two events of a stream, in milliseconds.
const LONG_EVENT_MS: u64 = 600;

/// How a caller sends requests and reads their answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Manner {
    /// Size of the request's body, in bytes.
    pub(crate) body: usize,
    /// Bytes that plain answers have in addition.
    pub(crate) answer: usize,
    /// Time between two events of streams, in milliseconds.
    pub(crate) event_ms: u64,
    /// Time between a request and the first read.
    pub(crate) pause: Duration,
}

impl Manner {
    /// A request with a short body and a short answer.
    pub(crate) const PLAIN: Self = Self {
        body: 4,
        answer: 0,
        event_ms: 15,
        pause: Duration::ZERO,
    };

    fn random(rng: &mut Pcg64Mcg) -> Self {
        let (which, part) = (rng.random_range(0..16), rng.random_range(0..=1000));
        match which {
            0 => Self {
                body: BIG_BODY * part / 1000,
                ..Self::PLAIN
            },
            1 => Self {
                answer: BIG_ANSWER * part / 1000,
                pause: Duration::from_millis(rng.random_range(0..READ_PAUSE_MS)),
                ..Self::PLAIN
            },
            2 => Self {
                event_ms: rng.random_range(15..LONG_EVENT_MS),
                ..Self::PLAIN
            },
            _ => Self::PLAIN,
        }
    }
}

/// A connection that is used for one request after another.
struct Kept {
    reader: BufReader<TcpStream>,
    entry: usize,
    opened: Instant,
}

impl Kept {
    fn open(entry: usize, addr: SocketAddr) -> Option<Self> {
        let opened = Instant::now();
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        stream.set_write_timeout(Some(READ_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
            entry,
            opened,
        })
    }

    /// Sends requests in one write and reads their answers; returns whether the connection
    /// can be used again.
    fn call(&mut self, ids: &[(&str, String)], manner: Manner, seen: &mut Seen) -> bool {
        let requests: Vec<u8> = ids
            .iter()
            .flat_map(|(k, id)| request(k, id, manner))
            .collect();
        if self.reader.get_mut().write_all(&requests).is_err() {
            return false;
        }
        let sent = Instant::now();
        thread::sleep(manner.pause);
        // Also after an answer that closes the connection, answers may follow.
        let mut open = Ok(true);
        for (kind, id) in ids {
            let told = open != Ok(true);
            let answer = open.and_then(|_| self.read_answer());
            open = answer.as_ref().map(|a| a.keeps).map_err(|_| End::Closed);
            match answer {
                Ok(Answer {
                    status: 200, body, ..
                }) => {
                    seen.result.answers += 1;
                    let own = body.trim_end_matches('x');
                    let asked = if KINDS[..2].contains(kind) {
                        manner.answer
                    } else {
                        0
                    };
                    let body = if body.len() - own.len() == asked {
                        own
                    } else {
                        &body
                    };
                    check_answer(kind, id, body, &mut seen.result);
                }
                Ok(Answer {
                    status: 408 | 421 | 429 | 503,
                    ..
                }) => {
                    seen.result.refused.push(id.clone());
                }
                Ok(Answer {
                    status: 502 | 504, ..
                }) => {}
                Ok(Answer { status, .. }) => {
                    seen.result.errors.push(format!("{id}: status {status}"));
                }
                Err(end) => seen.lost.push(Lost {
                    entry: self.entry,
                    id: id.clone(),
                    opened: self.opened,
                    sent,
                    ended: Instant::now(),
                    end,
                    told,
                }),
            }
        }
        open == Ok(true)
    }

    /// Reads one answer to its end.
    fn read_answer(&mut self) -> Result<Answer, End> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            match self.reader.read_line(&mut head) {
                Ok(1..) => {}
                Err(e) if is_timeout(&e) => return Err(End::Late),
                _ if head.is_empty() => return Err(End::Closed),
                _ => return Err(End::Cut),
            }
        }
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or(End::Cut)?;
        let body = match header(&head, "content-length").and_then(|l| l.parse().ok()) {
            Some(length) => self.read_bytes(length)?,
            None => self.read_chunks()?,
        };
        let closes = header(&head, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        Ok(Answer {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
            keeps: !closes,
        })
    }

    fn read_chunks(&mut self) -> Result<Vec<u8>, End> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).map_err(|e| cut(&e))?;
            let length = usize::from_str_radix(line.trim_end(), 16).map_err(|_| End::Cut)?;
            let chunk = self.read_bytes(length + 2)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }

    fn read_bytes(&mut self, length: usize) -> Result<Vec<u8>, End> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes).map_err(|e| cut(&e))?;
        Ok(bytes)
    }
}

/// A complete answer.
struct Answer {
    status: u16,
    body: String,
    /// Whether the connection stays open.
    keeps: bool,
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock)
}

fn cut(error: &std::io::Error) -> End {
    match is_timeout(error) {
        true => End::Late,
        false => End::Cut,
    }
}

/// The bytes of a request.
pub(crate) fn request(kind: &str, id: &str, manner: Manner) -> Vec<u8> {
    let Manner {
        body,
        answer,
        event_ms,
        ..
    } = manner;
    let answer = if KINDS[..2].contains(&kind) {
        answer
    } else {
        0
    };
    let mut request = format!(
        "POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 6000\r\nX-Token-Count: 1000,40\r\nX-Answer-Bytes: {answer}\r\n\
         X-Event-Ms: {event_ms}\r\nContent-Length: {body}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body, b'b');
    request
}

/// Sends requests on connections to any entry until `end` is set. Some are sent right
/// after each other, some have a large body or a large answer that is read late, and some callers leave without an answer.
pub(crate) fn call_until(seed: u64, caller: u64, addrs: &[SocketAddr], end: &AtomicBool) -> Seen {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 16 | u128::from(caller) << 1 | 1);
    let mut seen = Seen::default();
    let mut kept: Option<Kept> = None;
    for n in 0.. {
        if end.load(Ordering::SeqCst) {
            break;
        }
        let entry = rng.random_range(0..addrs.len());
        let mut ids = vec![numbered(seed, caller, n, rng.random_range(0..KINDS.len()))];
        if rng.random_range(0..8) == 0 {
            ids.push(numbered(seed, caller, n, KINDS.len()));
        }
        let manner = Manner::random(&mut rng);
        let (pause, leaves) = (rng.random_range(0..30), rng.random_range(0..24) == 0);
        kept = kept.or_else(|| Kept::open(entry, addrs[entry]));
        let Some(connection) = &mut kept else {
            thread::sleep(Duration::from_millis(5));
            continue;
        };
        if leaves {
            let (kind, id) = &ids[0];
            let _ = connection
                .reader
                .get_mut()
                .write_all(&request(kind, id, Manner::PLAIN));
            thread::sleep(Duration::from_millis(pause));
            kept = None;
            continue;
        }
        if !connection.call(&ids, manner, &mut seen) {
            kept = None;
        }
        thread::sleep(Duration::from_millis(pause));
    }
    seen
}

/// Makes one call on each of `count` new connections to one entry.
pub(crate) fn burst(
    seed: u64,
    caller: u64,
    count: u64,
    entry: usize,
    addr: SocketAddr,
) -> Vec<thread::JoinHandle<Seen>> {
    let call = move |n: u64| {
        let mut seen = Seen::default();
        if let Some(mut kept) = Kept::open(entry, addr) {
            let id = numbered(seed, caller, n, n as usize % KINDS.len());
            kept.call(&[id], Manner::PLAIN, &mut seen);
        }
        seen
    };
    (0..count).map(|n| thread::spawn(move || call(n))).collect()
}

/// The kind and the ID of a request. A further kind is one that may be repeated, under an
/// ID of its own.
fn numbered(seed: u64, caller: u64, n: u64, kind: usize) -> (&'static str, String) {
    let (kind, part) = match KINDS.get(kind) {
        Some(kind) => (*kind, "a"),
        None => ("safe", "b"),
    };
    (kind, format!("{kind}-{seed}-{caller}-{n}{part}"))
}

/// Opens `count` connections, sends most of a large request on each of them and waits for
/// `time` or until `end` is set.
pub(crate) fn crowd(
    count: usize,
    addr: SocketAddr,
    time: Duration,
    end: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let manner = Manner {
            body: SLOW_BODY,
            ..Manner::PLAIN
        };
        let bytes = request("safe", "slow", manner);
        let bytes = &bytes[..SLOW_SENT];
        let mut open: Vec<(TcpStream, usize)> = (0..count)
            .filter_map(|_| TcpStream::connect(addr).ok())
            .filter(|stream| stream.set_nonblocking(true).is_ok())
            .map(|stream| (stream, 0))
            .collect();
        let leave_at = Instant::now() + time;
        while Instant::now() < leave_at && !end.load(Ordering::SeqCst) {
            for (stream, sent) in &mut open {
                if let Ok(count) = stream.write(&bytes[*sent..]) {
                    *sent += count;
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}
