//! Callers that make the entry hold many bytes for them.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

use rstest::rstest;

use crate::caller::{Outcome, READ_TIMEOUT, call};
use crate::platform::{Platform, header, wait_until};
use crate::process::Entry;

/// Memory that the host allows the entry, in megabytes, as on a small host.
const MEMORY_MB: u32 = 110;

/// Descriptors that the host allows the entry.
const MAX_FDS: u32 = 4100;

/// Size of a large request body, in bytes.
const BODY: usize = 1_050_000;

/// Bytes of it that a slow caller sends before it waits.
const FIRST_PART: usize = 1_000_000;

/// Bytes of memory in a megabyte.
const MEGABYTE: usize = 1_000_000;

/// A caller that sends the first part of its body and waits for a sign to send the rest.
struct SlowCaller {
    proceed: Sender<()>,
    thread: JoinHandle<Option<String>>,
}

impl SlowCaller {
    fn start(at: SocketAddr, id: &str, sent: Sender<()>) -> Self {
        let (proceed, wait) = channel();
        let id = id.to_owned();
        let thread = thread::spawn(move || send_body(at, &id, &sent, &wait));
        Self { proceed, thread }
    }

    /// Has all callers send the rest of their bodies; returns the heads of their answers, as
    /// far as there are any.
    fn finish(callers: Vec<Self>) -> Vec<Option<String>> {
        for caller in &callers {
            let _ = caller.proceed.send(());
        }
        let answers = callers.into_iter().map(|caller| caller.thread.join());
        answers
            .map(|answer| answer.expect("caller thread panicked"))
            .collect()
    }
}

fn send_body(at: SocketAddr, id: &str, sent: &Sender<()>, wait: &Receiver<()>) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         Connection: close\r\nContent-Length: {BODY}\r\n\r\n"
    );
    // A caller that is refused may find its connection closed while it sends.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'x'; FIRST_PART]);
    let _ = sent.send(());
    let _ = wait.recv();
    let _ = stream.write_all(&vec![b'x'; BODY - FIRST_PART]);
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    answer
        .split_once("\r\n\r\n")
        .map(|(head, _)| head.to_owned())
}

/// The filler by which the answer to a request is to be longer.
pub(crate) fn filler(head: &str) -> String {
    let size = header(head, "x-answer-bytes").and_then(|n| n.parse().ok());
    "x".repeat(size.unwrap_or(0))
}

/// Whether the head is that of a refusal that says when to come back.
fn refused(head: &str) -> bool {
    head.starts_with("HTTP/1.1 503") && header(head, "retry-after").is_some()
}

fn start(
    name: &str,
) -> (
    std::sync::Arc<Platform>,
    Vec<crate::platform::Server>,
    Entry,
) {
    let (platform, store) = Platform::start();
    let servers = vec![platform.server(), platform.server()];
    let entry = Entry::start_limited(name, store, MEMORY_MB, MAX_FDS);
    wait_until("the entry is ready", || entry.ready());
    (platform, servers, entry)
}

/// Guards against a process that is killed for its memory because callers send large bodies
/// slowly, and against refusing everybody meanwhile.
#[rstest]
#[case::some(100)]
#[case::many(200)]
fn slow_bodies_stay_within_memory(#[case] callers: usize) {
    let (_platform, _servers, mut entry) = start(&format!("slow-bodies-{callers}"));
    let (sent, all_sent) = channel();
    let slow: Vec<_> = (0..callers)
        .map(|n| SlowCaller::start(entry.addr(), &format!("slow-{n}"), sent.clone()))
        .collect();
    for _ in 0..callers {
        all_sent.recv().expect("caller thread ended");
    }
    let other = call(entry.addr(), "/safe/x", "other");
    assert!(matches!(other, Outcome::Complete(200, _)), "{other:?}");
    assert!(entry.ready(), "the readiness page fails");

    let heads = SlowCaller::finish(slow);
    let peak = entry.peak_memory();
    assert!(
        peak < MEMORY_MB as usize * MEGABYTE,
        "peak memory is {peak} bytes"
    );
    let served = |head: &&Option<String>| {
        let head = head.as_deref().unwrap_or_default();
        head.starts_with("HTTP/1.1 200")
    };
    let count = heads.iter().filter(served).count();
    assert!(count > 0, "no slow caller was served");
    for head in heads.iter().filter(|head| !served(head)) {
        let head = head.as_deref().unwrap_or("no answer");
        assert!(refused(head), "{head}");
    }
    assert!(entry.running());
}

/// Guards against refusing callers whose bodies fit together.
#[test]
fn large_bodies_within_memory_are_served() {
    let (_platform, _servers, mut entry) = start("large-bodies");
    let (sent, all_sent) = channel();
    let slow: Vec<_> = (0..20)
        .map(|n| SlowCaller::start(entry.addr(), &format!("large-{n}"), sent.clone()))
        .collect();
    for _ in 0..slow.len() {
        all_sent.recv().expect("caller thread ended");
    }
    for head in SlowCaller::finish(slow) {
        let head = head.unwrap_or_default();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    }
    assert!(entry.running());
}

/// Guards against an entry that makes room by refusing callers that hold nothing, one after the
/// other, while a caller waits for the memory.
#[test]
fn unsent_bodies_delay_nobody() {
    let (_platform, _servers, entry) = start("unsent-bodies");
    let unsent: Vec<_> = (0..60)
        .map(|n| {
            let mut stream = TcpStream::connect(entry.addr()).expect("cannot connect");
            let head = format!(
                "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: unsent-{n}\r\n\
                 Content-Length: {BODY}\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes());
            stream
        })
        .collect();
    let (sent, all_sent) = channel();
    let slow: Vec<_> = (0..30)
        .map(|n| SlowCaller::start(entry.addr(), &format!("slow-{n}"), sent.clone()))
        .collect();
    for _ in 0..slow.len() {
        all_sent.recv().expect("caller thread ended");
    }
    // It is refused until the others count as stalled.
    wait_until("a large body is served", || {
        let (sent, _all_sent) = channel();
        let other = SlowCaller::start(entry.addr(), "other", sent);
        let head = SlowCaller::finish(vec![other]).pop().flatten();
        let head = head.expect("no answer");
        assert!(refused(&head) || head.starts_with("HTTP/1.1 200"), "{head}");
        head.starts_with("HTTP/1.1 200")
    });
    drop(unsent);
    SlowCaller::finish(slow);
    wait_until("all memory is released", || entry.status("held") == 0);
}

/// Guards against a body that is never read to its end because its chunks are small: the bytes
/// between them must not count as unread for ever.
#[rstest]
#[case::one_byte(1, 60_000)]
#[case::hundred_bytes(100, 9_000)]
fn body_in_small_chunks_is_served(#[case] size: usize, #[case] count: usize) {
    let (_platform, _servers, entry) = start(&format!("chunks-{size}"));
    let mut stream = TcpStream::connect(entry.addr()).expect("cannot connect");
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let head = "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: chunks\r\n\
                Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let request = format!("{head}{}0\r\n\r\n", chunk.repeat(count));
    let _ = stream.set_write_timeout(Some(READ_TIMEOUT));
    let _ = stream.write_all(request.as_bytes());
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against a process that is killed for its memory because callers do not read large
/// answers, and against other callers that are not served meanwhile.
#[rstest]
#[case::others_read_small_answers(60, 0)]
#[case::others_read_large_answers(8, LARGE_ANSWER)]
fn unread_answers_stay_within_memory(#[case] unread: usize, #[case] size: usize) {
    let (_platform, _servers, mut entry) = start(&format!("unread-answers-{unread}"));
    let unread: Vec<_> = (0..unread)
        .filter_map(|n| request_answer(entry.addr(), &format!("unread-{n}"), LARGE_ANSWER))
        .collect();
    for n in 0..4 {
        let stream = request_answer(entry.addr(), &format!("read-{n}"), size);
        let mut answer = Vec::new();
        let _ = stream.expect("no connection").read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer[..answer.len().min(80)]);
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{text}");
        assert!(answer.len() > size, "{text}");
    }
    assert!(entry.ready(), "the readiness page fails");
    let peak = entry.peak_memory();
    assert!(
        peak < MEMORY_MB as usize * MEGABYTE,
        "peak memory is {peak} bytes"
    );
    for stream in unread {
        let _ = stream.shutdown(Shutdown::Both);
    }
    assert!(entry.running());
}

/// Size of a large answer, in bytes.
const LARGE_ANSWER: usize = 6_000_000;

/// Asks for an answer of `size` bytes and a few more, on a connection of its own.
fn request_answer(at: SocketAddr, id: &str, size: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).ok()?;
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Answer-Bytes: {size}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(head.as_bytes()).ok()?;
    Some(stream)
}

/// Guards against streams that keep the memory of an event while they wait for the next one, so
/// that others whose callers read wait for it in vain.
#[test]
fn large_events_with_pauses_reach_all_readers() {
    let (_platform, _servers, entry) = start("paused-events");
    let at = entry.addr();
    let readers: Vec<_> = (0..60)
        .map(|n| {
            thread::spawn(move || {
                let mut stream = TcpStream::connect(at).expect("cannot connect");
                let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
                let head = format!(
                    "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: paused-{n}\r\n\
                     X-Answer-Bytes: 400000\r\nX-Event-Ms: 700\r\nConnection: close\r\n\
                     Content-Length: 4\r\n\r\nbody"
                );
                let _ = stream.write_all(head.as_bytes());
                let mut answer = Vec::new();
                let _ = stream.read_to_end(&mut answer);
                answer.ends_with(b"0\r\n\r\n")
            })
        })
        .collect();
    let whole = readers.into_iter().map(|reader| reader.join());
    let whole = whole.filter(|whole| matches!(whole, Ok(true))).count();
    assert_eq!(whole, 60);
    wait_until("all memory is released", || entry.status("held") == 0);
}

/// Guards against a process that is killed for its memory because callers do not read streams
/// with large events, and against streams of other callers that wait for them.
#[rstest]
#[case::large_events(100, 900_000, 10)]
#[case::some_large_events(8, 900_000, 900_000)]
#[case::small_events(300, 30_000, 30_000)]
fn unread_streams_stay_within_memory(
    #[case] unread: usize,
    #[case] unread_size: usize,
    #[case] read_size: usize,
) {
    let (_platform, _servers, mut entry) = start(&format!("unread-streams-{unread}"));
    let open = |id: &str, size: usize| {
        let mut stream = TcpStream::connect(entry.addr()).expect("cannot connect");
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let head = format!(
            "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
             X-Answer-Bytes: {size}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
        );
        let _ = stream.write_all(head.as_bytes());
        stream
    };
    let unread: Vec<_> = (0..unread)
        .map(|n| open(&format!("unread-{n}"), unread_size))
        .collect();
    for n in 0..4 {
        let mut answer = Vec::new();
        let _ = open(&format!("read-{n}"), read_size).read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer[..answer.len().min(80)]);
        assert!(answer.starts_with(b"HTTP/1.1 200"), "{text}");
        assert!(answer.ends_with(b"0\r\n\r\n"), "{text}");
    }
    assert!(entry.ready(), "the readiness page fails");
    let peak = entry.peak_memory();
    assert!(
        peak < MEMORY_MB as usize * MEGABYTE,
        "peak memory is {peak} bytes"
    );
    drop(unread);
    assert!(entry.running());
}
