//! Stand-in for the platform's append-only log, in memory.
//!
//! Faults can be changed through [`FaultControl`] or with `PUT /faults`.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, web};
use base::ids::Offset;
use base::settings::HumanDuration;
use base::stop::StopSignal;
use clients::log::{AppendRequest, Page, Record, RecordLocation};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::control::FaultControl;

/// Maximum size of a record, in bytes.
const RECORD_LIMIT: usize = 1 << 20;

/// Maximum total size of the records in one response, in bytes.
const PAGE_LIMIT: usize = 4 << 20;

/// Settings of a log stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Initial faults; can be replaced with `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// Faults of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// Delay of each response.
    #[serde(rename = "slow")]
    pub response_delay: HumanDuration,
    /// Number of following appends that take effect although the client gets no
    /// successful response.
    #[serde(rename = "lose")]
    pub lost_replies: u32,
    /// Time after which an append with a lost response fails.
    #[serde(rename = "hold")]
    pub loss_delay: HumanDuration,
    /// Retention time of records; unlimited when zero.
    pub retention: HumanDuration,
    /// Maximum number of appends per second; unlimited when zero.
    #[serde(rename = "rate")]
    pub append_rate: u32,
}

/// State of a running log.
struct LogState {
    streams: RefCell<HashMap<String, Stream>>,
    control: FaultControl<Faults>,
    /// Notifies readers that wait for a record.
    changed: Notify,
    /// Current second of Unix time, and the number of appends in it.
    window: Cell<(u64, u32)>,
}

/// Stream of records.
#[derive(Default)]
struct Stream {
    /// Offset of the oldest retained record.
    first: u64,
    /// Retained records, each with the time of its append.
    records: VecDeque<(Record, Instant)>,
}

/// Query of a read.
#[derive(Debug, Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default = "default_limit")]
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn default_limit() -> usize {
    100
}

/// Runs a log until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or serving fails.
pub async fn run(
    settings: Settings,
    control: FaultControl<Faults>,
    stop: StopSignal,
) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    serve(listener, control, stop).await
}

/// Runs a log on a bound listener until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when serving fails.
pub async fn serve(
    listener: TcpListener,
    control: FaultControl<Faults>,
    stop: StopSignal,
) -> io::Result<()> {
    let log = Rc::new(LogState {
        streams: RefCell::default(),
        control,
        changed: Notify::new(),
        window: Cell::new((0, 0)),
    });
    let app = App::new()
        .app_data(web::PayloadConfig::new(2 * RECORD_LIMIT))
        .app_data(web::JsonConfig::default().limit(2 * RECORD_LIMIT))
        .app_data(log)
        .route("/faults", web::put().to(set_faults))
        .route("/v1/streams/{stream}/records", web::post().to(append))
        .route("/v1/streams/{stream}/records", web::get().to(read))
        .route("/v1/streams/{stream}/records/{id}", web::get().to(find));
    base::http::serve(listener, app, stop).await
}

/// Replaces the faults.
async fn set_faults(http: HttpRequest, body: web::Json<Faults>) -> HttpResponse {
    if let Some(log) = http.app_data::<Rc<LogState>>() {
        log.control.change(|f| *f = body.into_inner());
    }
    HttpResponse::NoContent().finish()
}

async fn append(
    http: HttpRequest,
    stream: web::Path<String>,
    body: web::Json<AppendRequest>,
) -> HttpResponse {
    let log = match apply_faults(&http).await {
        Ok(log) => log,
        Err(response) => return response,
    };
    let AppendRequest { id, body } = body.into_inner();
    if body.len() > RECORD_LIMIT {
        return HttpResponse::PayloadTooLarge().finish();
    }
    if !log.count_append() {
        return HttpResponse::TooManyRequests().finish();
    }

    let offset = log.append_record(&stream, id, body);
    if let Some(delay) = log.take_lost_reply() {
        tokio::time::sleep(delay).await;
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(RecordLocation {
        offset: Some(offset),
    })
}

async fn find(http: HttpRequest, path: web::Path<(String, String)>) -> HttpResponse {
    let log = match apply_faults(&http).await {
        Ok(log) => log,
        Err(response) => return response,
    };
    let (stream, id) = path.into_inner();
    let streams = log.expire();
    let records = streams.get(&stream).map(|s| s.records.iter());
    let found = records.into_iter().flatten().find(|(e, _)| e.id == id);
    HttpResponse::Ok().json(RecordLocation {
        offset: found.map(|(e, _)| e.offset),
    })
}

async fn read(
    http: HttpRequest,
    stream: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    let log = match apply_faults(&http).await {
        Ok(log) => log,
        Err(response) => return response,
    };
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = log.changed.notified();
        let page = log.read_page(&stream, &query);
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !page.records.is_empty() || remaining.is_zero() {
            return HttpResponse::Ok().json(page);
        }
        let _ = tokio::time::timeout(remaining, changed).await;
        if log.control.get().down {
            return HttpResponse::ServiceUnavailable().finish();
        }
    }
}

/// Applies the configured delay and outage to a call; returns the log when the
/// call succeeds.
async fn apply_faults(http: &HttpRequest) -> Result<Rc<LogState>, HttpResponse> {
    let error = |status| HttpResponse::new(status);
    let log = http.app_data::<Rc<LogState>>().cloned();
    let log = log.ok_or_else(|| error(StatusCode::INTERNAL_SERVER_ERROR))?;

    let response_delay = log.control.get().response_delay.0;
    if !response_delay.is_zero() {
        tokio::time::sleep(response_delay).await;
    }
    match log.control.get().down {
        true => Err(error(StatusCode::SERVICE_UNAVAILABLE)),
        false => Ok(log),
    }
}

impl LogState {
    /// Counts an append attempt; returns whether the rate limit allows it.
    fn count_append(&self) -> bool {
        let rate = self.control.get().append_rate;
        let second = unix_time_ms() / 1000;
        let (window_second, used) = self.window.get();
        let used = if window_second == second { used } else { 0 };
        self.window.set((second, used + 1));
        rate == 0 || used < rate
    }

    /// Returns the delay before failing when the response to this append is to be
    /// lost, and counts it as lost.
    fn take_lost_reply(&self) -> Option<Duration> {
        let faults = self.control.get();
        let lost = faults.lost_replies > 0;
        self.control
            .change(|f| f.lost_replies = f.lost_replies.saturating_sub(1));
        lost.then_some(faults.loss_delay.0)
    }

    fn append_record(&self, stream: &str, id: String, body: String) -> Offset {
        let mut streams = self.expire();
        let stream = streams.entry(stream.to_owned()).or_default();
        let offset = Offset(stream.end_offset());
        let record = Record {
            offset,
            id,
            time_ms: unix_time_ms(),
            body,
        };
        stream.records.push_back((record, Instant::now()));
        drop(streams);
        self.changed.notify_waiters();
        offset
    }

    fn read_page(&self, stream: &str, query: &ReadQuery) -> Page {
        let streams = self.expire();
        let mut page = Page {
            now_ms: unix_time_ms(),
            retention_ms: u64::try_from(self.control.get().retention.0.as_millis()).unwrap_or(0),
            ..Page::default()
        };
        let Some(stream) = streams.get(stream) else {
            return page;
        };
        page.first_offset = Offset(stream.first);
        page.end_offset = Offset(stream.end_offset());

        let skip = query.from.saturating_sub(stream.first);
        let mut size = 0;
        for (record, _) in stream
            .records
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
        {
            size += record.body.len();
            let full = page.records.len() == query.limit || size > PAGE_LIMIT;
            if full && !page.records.is_empty() {
                break;
            }
            page.records.push(record.clone());
        }
        page
    }

    /// Deletes the records that are older than the retention time.
    fn expire(&self) -> std::cell::RefMut<'_, HashMap<String, Stream>> {
        let mut streams = self.streams.borrow_mut();
        let retention = self.control.get().retention.0;
        if retention.is_zero() {
            return streams;
        }
        for stream in streams.values_mut() {
            while stream
                .records
                .front()
                .is_some_and(|(_, at)| at.elapsed() > retention)
            {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
        streams
    }
}

impl Stream {
    /// Returns the offset of the next record.
    fn end_offset(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}
