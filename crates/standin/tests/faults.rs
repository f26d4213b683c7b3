//! Faults of stand-ins as their clients observe them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use base::settings;
use base::stop::StopSignal;
use standin::{FaultControl, Ledger, engine, proxy};

/// Timeout for an event that must happen.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time without data after which a connection is taken to be silent.
const QUIET: Duration = Duration::from_millis(100);

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

fn free_addr() -> SocketAddr {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let ip = [
        127,
        a.max(1),
        b.max(1),
        NEXT_HOST.fetch_add(1, Ordering::Relaxed),
    ];
    SocketAddr::from((ip, 7300))
}

fn spawn_system<F>(body: impl FnOnce() -> F + Send + 'static) -> JoinHandle<()>
where
    F: Future<Output = std::io::Result<()>>,
{
    thread::spawn(move || {
        let result = actix_rt::System::new().block_on(body());
        result.expect("stand-in failed");
    })
}

/// Retries until the address accepts a connection.
fn connect(addr: SocketAddr) -> TcpStream {
    let started = Instant::now();
    loop {
        match TcpStream::connect(addr) {
            Ok(stream) => {
                stream
                    .set_read_timeout(Some(TIMEOUT))
                    .expect("failed to set the read timeout");
                return stream;
            }
            Err(e) => assert!(
                started.elapsed() < TIMEOUT,
                "no connection before the timeout: {e}"
            ),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn request_load(stream: &mut TcpStream) -> std::io::Result<usize> {
    stream.write_all(b"GET /v1/load HTTP/1.1\r\nhost: x\r\n\r\n")?;
    stream.read(&mut [0; 512])
}

/// A crash of the engine must close open connections and refuse new ones until the
/// engine has restarted.
#[test]
fn engine_crash_closes_and_refuses_connections() {
    let (listen, stop) = (free_addr(), StopSignal::new());
    let settings: engine::Settings =
        settings::parse("engine", &format!(r#"{{ "listen": "{listen}" }}"#))
            .expect("invalid settings");
    let faults = FaultControl::new(engine::Faults::default());
    let (shared_faults, stopped) = (faults.clone(), stop.clone());
    let running =
        spawn_system(move || engine::run_with(settings, shared_faults, Ledger::default(), stopped));

    let mut open = connect(listen);
    assert!(request_load(&mut open).expect("no response") > 0);
    faults.change(|f| f.crashed = true);
    let ended = open.read(&mut [0; 64]);
    assert!(matches!(ended, Ok(0) | Err(_)), "{ended:?}");
    let started = Instant::now();
    while TcpStream::connect(listen).is_ok() {
        assert!(
            started.elapsed() < TIMEOUT,
            "engine still accepts connections"
        );
    }

    faults.change(|f| f.crashed = false);
    assert!(request_load(&mut connect(listen)).expect("no response") > 0);
    stop.trigger();
    running.join().expect("stand-in panicked");
}

/// A silenced connection must stay open without passing data, while a new
/// connection to the same address works.
#[test]
fn silence_affects_open_connections_only() {
    let (listen, stop) = (free_addr(), StopSignal::new());
    let echo = TcpListener::bind(free_addr()).expect("failed to bind the echo server");
    let target = echo.local_addr().expect("echo server has no address");
    thread::spawn(move || {
        for stream in echo.incoming().flatten() {
            thread::spawn(move || {
                let mut from = stream.try_clone().expect("failed to clone the stream");
                let _ = std::io::copy(&mut from, &mut &stream);
            });
        }
    });
    let faults = FaultControl::new(proxy::Faults::default());
    let (shared_faults, stopped) = (faults.clone(), stop.clone());
    let running = spawn_system(move || proxy::run(listen, target, shared_faults, stopped));

    let mut buffer = [0; 8];
    let mut old = connect(listen);
    old.write_all(b"one").expect("failed to write");
    assert_eq!(old.read(&mut buffer).expect("no echo"), 3);

    faults.change(|f| f.silence_generation += 1);
    old.set_read_timeout(Some(QUIET))
        .expect("failed to set the read timeout");
    let started = Instant::now();
    loop {
        old.write_all(b"two").expect("connection was closed");
        match old.read(&mut buffer) {
            Ok(count) => assert!(count > 0, "connection was closed instead of silenced"),
            Err(e) => {
                assert_eq!(e.kind(), ErrorKind::WouldBlock);
                break;
            }
        }
        assert!(started.elapsed() < TIMEOUT, "connection still passes data");
    }

    let mut new = connect(listen);
    new.write_all(b"new").expect("failed to write");
    assert_eq!(new.read(&mut buffer).expect("no echo"), 3);
    stop.trigger();
    running.join().expect("stand-in panicked");
}
