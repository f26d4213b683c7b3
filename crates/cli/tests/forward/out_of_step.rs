//! Streams that callers take up at an entry that stood still while servers of a new software
//! version joined and the streams began at another entry.

use std::net::UdpSocket;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::caller::StreamRead;
use crate::platform::wait_until;
use crate::process::Entry;
use crate::versions::{STREAMS, Versions};

/// Fewest streams that go on while the other entries serve: nine in ten.
const MIN_CONTINUED: usize = STREAMS - STREAMS / 10;

/// Datagrams that fill the receive buffer of a socket.
const DATAGRAMS: u32 = 6000;

/// What the other entries do when the entry goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Others {
    Serve,
    /// They are killed.
    Killed,
    /// They stand still themselves.
    Stopped,
}

/// Guards against an entry that joins streams of a version that it has not heard of with
/// those of the only one that it knows, and against refusing them while others know theirs.
#[rstest]
#[case::others_serve(Others::Serve, false)]
#[case::others_killed(Others::Killed, false)]
#[case::others_stopped(Others::Stopped, false)]
#[case::unheard_others_serve(Others::Serve, true)]
#[case::unheard_others_killed(Others::Killed, true)]
#[case::unheard_others_stopped(Others::Stopped, true)]
fn stream_joined_by_entry_that_stood_still(#[case] others: Others, #[case] unheard: bool) {
    let name = format!("stood-still-{others:?}-{unheard}");
    let mut fleet = Versions::start_at_versions(&name, ["v1"; 4]);
    fleet.entries[1].signal(Signal::SIGSTOP);
    if unheard {
        fill_socket(&fleet.entries[1]);
    }
    fleet.add_servers("v1.1", 4);
    wait_until("the new version is known", || {
        let known = |n: usize| fleet.entries[n].status("servers") == 8;
        known(0) && known(2)
    });
    let mut streams = fleet.begin();
    let signal = match others {
        Others::Serve => None,
        Others::Killed => Some(Signal::SIGKILL),
        Others::Stopped => Some(Signal::SIGSTOP),
    };
    for other in [0, 2] {
        signal.inspect(|signal| fleet.entries[other].signal(*signal));
    }
    fleet.entries[1].signal(Signal::SIGCONT);
    let at_once = take_up_once(&fleet, &mut streams);
    let whole = fleet.take_up(1, &mut streams);
    println!("others={others:?} unheard={unheard} at_once={at_once} whole={whole} of={STREAMS}");
    if others == Others::Serve {
        assert!(whole >= MIN_CONTINUED, "{whole} of {STREAMS}");
    }
}

/// Fills the socket of an entry that stands still, so that it misses what others tell it.
fn fill_socket(entry: &Entry) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a socket");
    for _ in 0..DATAGRAMS {
        let sent = socket.send_to(&[0; 64], entry.gossip());
        sent.expect("cannot send a datagram");
    }
}

/// Makes one call for each stream at the second entry, to its third event; returns how many
/// went on.
fn take_up_once(fleet: &Versions, streams: &mut [StreamRead]) -> usize {
    let addr = fleet.entries[1].addr();
    for (n, stream) in streams.iter_mut().enumerate() {
        stream.read(addr, &format!("once-{n}"), &format!("first-{n}"), 3);
    }
    let mixed: Vec<_> = streams.iter().filter(|s| !s.is_consistent()).collect();
    assert!(mixed.is_empty(), "{} streams: {mixed:?}", mixed.len());
    streams.iter().filter(|s| s.events.len() == 3).count()
}
