//! Many new connections at one entry.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::caller::{Outcome, READ_TIMEOUT, call};
use crate::fleet::{Fleet, served};
use crate::kept::{Manner, request};
use crate::platform::wait_until;

/// Connections that are opened at the same time, each for one call.
const CONNECTIONS: usize = 300;

/// Guards against an entry that reads calls and does not serve them when a load balancer sends
/// it most new connections, while another entry gets few.
#[test]
fn most_connections_at_one_entry() {
    let fleet = Fleet::start("crowded", 2);
    let calls: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let addr = fleet.entries[usize::from(n % 20 == 0)].addr();
            let path = ["/safe/x", "/once/x", "/stream/x"][n % 3];
            thread::spawn(move || call(addr, path, &format!("crowded-{n}")))
        })
        .collect();
    let outcomes: Vec<Outcome> = calls
        .into_iter()
        .map(|c| c.join().expect("caller thread panicked"))
        .collect();
    let count = outcomes.iter().filter(|outcome| served(outcome)).count();
    let others: Vec<_> = outcomes.iter().filter(|outcome| !served(outcome)).collect();
    assert!(count * 4 >= CONNECTIONS * 3, "{count} served; {others:?}");
}

/// Guards against executing a request that was sent right behind another one whose answer
/// closes the connection: its caller stops reading there and never gets the answer.
#[rstest]
#[case::once("once")]
#[case::safe("safe")]
#[case::stream("stream")]
fn request_behind_a_closing_answer(#[case] kind: &str) {
    let fleet = Fleet::start(&format!("closing-{kind}"), 1);
    let entry = &fleet.entries[0];
    entry.signal(Signal::SIGTERM);
    wait_until("the entry drains", || !entry.ready());
    let mut stream = TcpStream::connect(entry.addr()).expect("cannot connect");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("cannot set the timeout");
    let requests = [(kind, "first"), ("once", "second")];
    let requests = requests.map(|(kind, id)| request(kind, id, Manner::PLAIN));
    let requests = requests.concat();
    stream.write_all(&requests).expect("cannot send");
    let mut answers = String::new();
    let read = stream.read_to_string(&mut answers);
    read.expect("the connection is not closed");
    assert!(answers.starts_with("HTTP/1.1 200 "), "{answers}");
    let closes = answers.to_ascii_lowercase().contains("connection: close");
    let ran = fleet
        .platform
        .runs
        .lock()
        .expect("mutex poisoned")
        .contains_key("second");
    assert!(!(closes && ran), "{answers}");
}

/// Guards against closing a connection behind a running answer, during shutdown, without
/// an answer to the request that was sent right behind: its caller was told of no close and
/// cannot know whether it ran.
#[rstest]
#[case::sigterm(&[Signal::SIGTERM])]
#[case::reload_first(&[Signal::SIGHUP, Signal::SIGTERM])]
fn request_behind_a_running_answer(#[case] signals: &[Signal]) {
    let fleet = Fleet::start(&format!("behind-{}", signals.len()), 1);
    let entry = &fleet.entries[0];
    let mut stream = TcpStream::connect(entry.addr()).expect("cannot connect");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("cannot set the timeout");
    let long = Manner {
        event_ms: 300,
        ..Manner::PLAIN
    };
    let requests = [
        request("stream", "first", long),
        request("once", "second", Manner::PLAIN),
    ];
    stream.write_all(&requests.concat()).expect("cannot send");
    wait_until("the first request runs", || {
        let runs = fleet.platform.runs.lock().expect("mutex poisoned");
        runs.contains_key("first")
    });
    let mut answers = vec![0; 12];
    stream.read_exact(&mut answers).expect("no answer");
    signals.iter().for_each(|signal| entry.signal(*signal));
    let read = stream.read_to_end(&mut answers);
    read.expect("the connection is not closed");
    let answers = String::from_utf8_lossy(&answers);
    let (_, second) = answers
        .split_once("0\r\n\r\n")
        .expect("the first answer is cut");
    assert!(second.starts_with("HTTP/1.1 "), "{answers}");
}
