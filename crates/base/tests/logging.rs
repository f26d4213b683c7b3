//! Log output that is never waited for, and the story that it tells later.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use base::logging::bounded::BoundedWriter;
use base::timeline::{LogLine, request_timeline};
use rstest::rstest;

/// Takes nothing until it is told to.
struct Stuck {
    go: Receiver<()>,
    out: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        let _ = self.out.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the daemon's output has stopped. The daemon must go on: its
/// lines wait, then are left out, and once somebody reads again the count of
/// those is told.
#[test]
fn stuck_reader_holds_nothing_up() {
    let (go, gone) = channel();
    let (out, written) = channel();
    let mut log = BoundedWriter::start(Stuck { go: gone, out }).expect("a thread");
    let line = [b'x'; 1024];
    for _ in 0..1000 {
        log.write_all(&line).expect("never fails");
    }
    assert!(
        log.dropped_lines() > 0,
        "nothing was left out of a full buffer"
    );
    drop(go);
    let mut text = String::new();
    while !text.contains("event=\"log lines left out\" count=") {
        let piece = written.recv_timeout(Duration::from_secs(20));
        text += &String::from_utf8_lossy(&piece.expect("the count is told"));
    }
}

/// Collects what is written, one piece for each write.
struct Pieces(Sender<Vec<u8>>);

impl Write for Pieces {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Several daemons write into one pipe. A write that is longer than a pipe
/// takes at once is torn, and lines of one daemon end up inside another's.
#[test]
fn lines_are_not_torn() {
    let (out, written) = channel();
    let mut log = BoundedWriter::start(Pieces(out)).expect("a thread");
    for i in 0..500 {
        let line = format!("time={i} event=\"{}\"\n", "x".repeat(i % 90));
        log.write_all(line.as_bytes()).expect("never fails");
    }
    log.flush().expect("written");
    let pieces: Vec<Vec<u8>> = written.try_iter().collect();
    assert!(pieces.len() > 1);
    assert!(pieces.iter().all(|p| p.len() <= 4096 && p.ends_with(b"\n")));
    let lines = pieces.concat().iter().filter(|b| **b == b'\n').count();
    assert_eq!(lines, 500);
}

fn lines() -> Vec<LogLine> {
    let raw = [
        "time=900 level=info event=\"server listed\" server=s9 leaving=false",
        "   1.2 front-1 time=1000 level=info event=\"server missing\" server=s1",
        "   1.3 front-1 time=1100 level=info event=\"send failed\" id=7 server=s1 detail=\"a \\\"b\\\" c=d\" ms=3",
        "   1.4 front-2 time=1150 level=warn event=\"store lost\" table=servers",
        "   1.5 front-1 time=1160 level=warn event=\"store lost\" table=servers",
        "   1.6 front-1 time=1200 level=info event=\"call answered\" id=7 status=502",
        "   1.6 front-1 time=1210 level=info event=\"call answered\" id=77 status=200",
        "no log line at all",
    ];
    raw.iter()
        .filter_map(|l| LogLine::parse("file", l))
        .collect()
}

#[test]
fn story_told_in_order() {
    let lines = lines();
    assert_eq!(lines.len(), 7);
    let told = request_timeline("7", &lines);
    let events: Vec<_> = told.iter().filter_map(|l| l.get("event")).collect();
    assert_eq!(
        events,
        [
            "server missing",
            "send failed",
            "store lost",
            "call answered"
        ]
    );
    assert!(told.iter().all(|l| l.daemon == "front-1"));
}

#[test]
fn story_of_unknown_is_empty() {
    assert!(request_timeline("8", &lines()).is_empty());
}

#[rstest]
#[case::plain("ms", Some("3"))]
#[case::quoted("detail", Some("a \\\"b\\\" c=d"))]
#[case::inside_a_value("c", None)]
#[case::start_of_a_key("m", None)]
fn value_found(#[case] key: &str, #[case] wanted: Option<&str>) {
    assert_eq!(lines()[2].get(key), wanted);
}
