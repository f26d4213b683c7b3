//! Faults of stand-ins as whoever talks to them sees them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use base::settings;
use base::stop::StopSignal;
use standin::{FaultControl, Ledger, engine, proxy};

/// Longest wait for what must come, and the wait for what must not.
const BOUND: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(100);

static NEXT: AtomicU8 = AtomicU8::new(1);

fn addr() -> SocketAddr {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let ip = [
        127,
        a.max(1),
        b.max(1),
        NEXT.fetch_add(1, Ordering::Relaxed),
    ];
    SocketAddr::from((ip, 7300))
}

fn on_thread<F>(body: impl FnOnce() -> F + Send + 'static) -> JoinHandle<()>
where
    F: Future<Output = std::io::Result<()>>,
{
    thread::spawn(move || {
        let ended = actix_rt::System::new().block_on(body());
        ended.expect("the stand-in listens");
    })
}

/// Connects as soon as someone listens.
fn connect(addr: SocketAddr) -> TcpStream {
    let began = Instant::now();
    loop {
        match TcpStream::connect(addr) {
            Ok(stream) => {
                stream.set_read_timeout(Some(BOUND)).expect("a bound");
                return stream;
            }
            Err(e) => assert!(began.elapsed() < BOUND, "nobody listens: {e}"),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn ask(stream: &mut TcpStream) -> std::io::Result<usize> {
    stream.write_all(b"GET /v1/load HTTP/1.1\r\nhost: x\r\n\r\n")?;
    stream.read(&mut [0; 512])
}

/// A sidecar's open connection to its engine is reset, new ones are refused,
/// and after the engine has come back a new one works again.
#[test]
fn engine_crash_drops_and_refuses() {
    let (listen, stop) = (addr(), StopSignal::new());
    let settings: engine::Settings =
        settings::parse("engine", &format!(r#"{{ "listen": "{listen}" }}"#)).expect("sound");
    let faults = FaultControl::new(engine::Faults::default());
    let (control, asked) = (faults.clone(), stop.clone());
    let running = on_thread(move || engine::run_with(settings, control, Ledger::default(), asked));

    let mut open = connect(listen);
    assert!(ask(&mut open).expect("an answer") > 0);
    faults.change(|f| f.crashed = true);
    let ended = open.read(&mut [0; 64]);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    let began = Instant::now();
    while TcpStream::connect(listen).is_ok() {
        assert!(began.elapsed() < BOUND, "still accepts connections");
    }

    faults.change(|f| f.crashed = false);
    assert!(ask(&mut connect(listen)).expect("an answer") > 0);
    stop.trigger();
    running.join().expect("no panic");
}

/// The connection stays open for TCP and carries nothing more, while a new
/// one to the same address works.
#[test]
fn silence_mutes_open_connections_only() {
    let (listen, stop) = (addr(), StopSignal::new());
    let echo = TcpListener::bind(addr()).expect("a free address");
    let target = echo.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in echo.incoming().flatten() {
            thread::spawn(move || {
                let mut from = stream.try_clone().expect("a copy");
                let _ = std::io::copy(&mut from, &mut &stream);
            });
        }
    });
    let faults = FaultControl::new(proxy::Faults::default());
    let (control, asked) = (faults.clone(), stop.clone());
    let running = on_thread(move || proxy::run(listen, target, control, asked));

    let mut buffer = [0; 8];
    let mut old = connect(listen);
    old.write_all(b"one").expect("open");
    assert_eq!(old.read(&mut buffer).expect("an echo"), 3);

    faults.change(|f| f.silence_generation += 1);
    old.set_read_timeout(Some(QUIET)).expect("a bound");
    let began = Instant::now();
    loop {
        old.write_all(b"two").expect("still open");
        match old.read(&mut buffer) {
            Ok(count) => assert!(count > 0, "closed, not silent"),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                break;
            }
        }
        assert!(began.elapsed() < BOUND, "still carries bytes");
    }

    let mut new = connect(listen);
    new.write_all(b"new").expect("open");
    assert_eq!(new.read(&mut buffer).expect("an echo"), 3);
    stop.trigger();
    running.join().expect("no panic");
}
