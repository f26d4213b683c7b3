//! Background tasks that fail.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::logging::{KeyValue, log_panics};
use base::stop::StopSignal;
use base::task::supervise;
use rstest::rstest;
use spdlog::sink::WriteSink;

/// Timeout after which a test fails; far longer than any test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the first run of a task ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Panic,
    Return,
}

async fn until(mut done: impl FnMut() -> bool) {
    let polled = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, polled)
        .await
        .expect("timed out");
}

/// Guards against a background task that ends for good while its daemon goes on without
/// it.
#[rstest]
#[case::panicked(End::Panic)]
#[case::returned(End::Return)]
#[actix_rt::test]
async fn failed_task_restarts(#[case] first: End) {
    let end = StopSignal::new();
    let runs = Rc::new(Cell::new(0));
    let (own, stop) = (Rc::clone(&runs), end.clone());
    supervise("task", end.clone(), move || {
        let (runs, stop) = (Rc::clone(&own), stop.clone());
        async move {
            runs.set(runs.get() + 1);
            match (runs.get(), first) {
                (1, End::Panic) => panic!("no such record"),
                (1, End::Return) => {}
                _ => stop.wait().await,
            }
        }
    });
    until(|| runs.get() == 2).await;
    assert_eq!(Rc::strong_count(&runs), 3, "the second run goes on");

    end.trigger();
    until(|| Rc::strong_count(&runs) == 1).await;
    assert_eq!(runs.get(), 2, "no run starts after the end");
}

/// A log that a test can read.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("mutex poisoned").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a panic of which the log says nothing.
#[test]
fn panic_is_logged() {
    let buffer = Buffer::default();
    let sink = WriteSink::builder()
        .formatter(KeyValue)
        .target(buffer.clone())
        .build();
    let logger = spdlog::Logger::builder()
        .sink(Arc::new(sink.expect("cannot create a sink")))
        .build();
    spdlog::set_default_logger(Arc::new(logger.expect("cannot create a logger")));
    log_panics();

    let panicked = std::thread::spawn(|| panic!("slot {} is taken", 3)).join();
    assert!(panicked.is_err());
    spdlog::default_logger().flush();
    let log = buffer.0.lock().expect("mutex poisoned").clone();
    let log = String::from_utf8(log).expect("log is not UTF-8");
    let expected = "event=\"panic\" cause=\"slot 3 is taken\" location=";
    assert!(log.contains(expected), "{log}");
}
