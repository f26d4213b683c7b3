//! Sound runners of plain services.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

const WORK: Duration = Duration::from_millis(30);

/// Number of runs of each request, by its ID.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// Starts a runner of a plain service on `host`; returns its address.
pub fn start_plain(
    id: &'static str,
    host: &str,
    runs: Runs,
    record: Arc<Record>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((host, 0))?;
    let addr = listener.local_addr()?;
    http::listen(listener, move |stream| {
        // An error only ends this connection.
        let _ = serve(stream, id, &runs, &record);
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream, own: &str, runs: &Runs, record: &Record) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = http::read(&mut reader)? {
        if request.header("x-expect-instance") != Some(own) {
            let headers = format!("X-Instance-Id: {own}\r\n");
            http::respond(&mut stream, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        let id = request.header("x-request-id").unwrap_or("-").to_owned();
        record.line(&format!("runner {own} runs {id}"));
        *runs
            .lock()
            .expect("poisoned")
            .entry(id.clone())
            .or_default() += 1;
        thread::sleep(WORK);
        let headers = format!("X-Request-Id: {id}\r\nX-Response-Seal: {own}.{id}\r\n");
        http::respond(&mut stream, "200 OK", &headers, b"done")?;
    }
    Ok(())
}
