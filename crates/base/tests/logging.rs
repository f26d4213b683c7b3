//! The non-blocking log writer, and the timeline of a request from log lines.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base::logging::KeyValue;
use base::logging::bounded::BoundedWriter;
use base::logging::limiter::LineLimiter;
use base::timeline::{LogLine, request_timeline};
use rstest::rstest;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

/// A writer that blocks until the test lets it continue.
struct BlockedWriter {
    resume: Receiver<()>,
    writes_tx: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.resume.recv();
        let _ = self.writes_tx.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a daemon that blocks on logging when the reader of its output
/// stalls: lines must be buffered, then dropped, and the number of dropped lines
/// logged once the reader continues.
#[test]
fn stalled_reader_does_not_block() {
    let (resume, resume_rx) = channel();
    let (writes_tx, writes_rx) = channel();
    let mut log = BoundedWriter::start(BlockedWriter {
        resume: resume_rx,
        writes_tx,
    })
    .expect("the writer thread starts");
    let line = [b'x'; 1024];
    for _ in 0..1000 {
        log.write_all(&line)
            .expect("writing to the buffer succeeds");
    }
    assert!(
        log.dropped_lines() > 0,
        "no line was dropped from a full buffer"
    );
    drop(resume);
    let mut text = String::new();
    while !text.contains("event=\"log lines left out\" count=") {
        let write = writes_rx.recv_timeout(Duration::from_secs(20));
        text += &String::from_utf8_lossy(&write.expect("the count is logged"));
    }
}

/// A writer that records the bytes of each write separately.
struct RecordingWriter(Sender<Vec<u8>>);

impl Write for RecordingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against interleaved lines when several daemons share a pipe: writes
/// longer than the pipe's atomic size are split between those of others.
#[test]
fn lines_are_not_torn() {
    let (writes_tx, writes_rx) = channel();
    let mut log =
        BoundedWriter::start(RecordingWriter(writes_tx)).expect("the writer thread starts");
    for i in 0..500 {
        let line = format!("time={i} event=\"{}\"\n", "x".repeat(i % 90));
        log.write_all(line.as_bytes())
            .expect("writing to the buffer succeeds");
    }
    log.flush().expect("flushing succeeds");
    let writes: Vec<Vec<u8>> = writes_rx.try_iter().collect();
    assert!(writes.len() > 1);
    assert!(writes.iter().all(|p| p.len() <= 4096 && p.ends_with(b"\n")));
    let lines = writes.concat().iter().filter(|b| **b == b'\n').count();
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
fn timeline_is_ordered() {
    let lines = lines();
    assert_eq!(lines.len(), 7);
    let timeline = request_timeline("7", &lines);
    let events: Vec<_> = timeline.iter().filter_map(|l| l.get("event")).collect();
    assert_eq!(
        events,
        [
            "server missing",
            "send failed",
            "store lost",
            "call answered"
        ]
    );
    assert!(timeline.iter().all(|l| l.daemon == "front-1"));
}

#[test]
fn timeline_of_unknown_request_is_empty() {
    assert!(request_timeline("8", &lines()).is_empty());
}

#[rstest]
#[case::plain("ms", Some("3"))]
#[case::quoted("detail", Some("a \\\"b\\\" c=d"))]
#[case::inside_a_value("c", None)]
#[case::start_of_a_key("m", None)]
fn value_of_key(#[case] key: &str, #[case] expected: Option<&str>) {
    assert_eq!(lines()[2].get(key), expected);
}

/// Guards against a line for each event that another process causes.
#[test]
fn frequent_events_are_counted() {
    let limiter = LineLimiter::default();
    let start = Instant::now();
    let logged = (0..3000).filter_map(|n| limiter.record(start + Duration::from_millis(10 * n)));
    assert_eq!(logged.collect::<Vec<u64>>(), [0, 999, 999]);
}

/// Collects the lines that a sink writes.
#[derive(Clone, Default)]
struct SharedWriter(Arc<Mutex<Vec<u8>>>);

impl Write for SharedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("mutex poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against text of another system that fills the log buffer, or that breaks a line
/// in two.
#[rstest]
#[case::plain("x".repeat(256 << 10))]
#[case::control_characters("\n\u{0}".repeat(128 << 10))]
#[case::wide_characters("\u{fffd}\u{10ffff}".repeat(64 << 10))]
#[case::spaces(" ".repeat(256 << 10))]
fn long_value_truncated(#[case] value: String) {
    let written = SharedWriter::default();
    let sink = WriteSink::builder()
        .formatter(KeyValue)
        .target(written.clone())
        .build();
    let logger = Logger::builder()
        .sink(Arc::new(sink.expect("a sink")))
        .flush_level_filter(LevelFilter::All)
        .build()
        .expect("a logger");
    spdlog::warn!(logger: logger, "invalid record", kv: { text = value.as_str(), last = 1 });
    let written = written.0.lock().expect("mutex poisoned").clone();
    let text = String::from_utf8(written).expect("text");
    assert!(text.len() < 8 << 10, "{} bytes", text.len());
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.ends_with(" last=1\n"), "{text}");
}
