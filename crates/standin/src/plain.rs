//! A plain service, some of whose calls may not be repeated.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::settings::Span;
use base::stop::Stop;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::ledger::Ledger;

/// Settings of a plain service's stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long one call takes.
    #[serde(default = "default_work")]
    pub work: Span,
}

fn default_work() -> Span {
    Span::ms(5)
}

/// What the stand-in reads of a call.
#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    mark: String,
}

struct Plain {
    settings: Settings,
    ledger: Ledger,
}

/// Runs a plain service until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the service cannot listen.
pub async fn run(settings: Settings, ledger: Ledger, stop: Stop) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let plain = Rc::new(Plain { settings, ledger });
    let app = App::new().app_data(plain).default_service(web::to(call));
    base::http::serve(listener, app, stop).await
}

/// Does the call's work and answers with its mark.
async fn call(http: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(plain) = http.app_data::<Rc<Plain>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let mark = serde_json::from_slice::<Body>(&body)
        .map(|b| b.mark)
        .unwrap_or_default();

    plain.ledger.note(&mark, |seen| seen.runs += 1);
    tokio::time::sleep(plain.settings.work.0).await;
    plain.ledger.note(&mark, |seen| seen.ended += 1);
    HttpResponse::Ok().json(serde_json::json!({ "mark": mark, "done": true }))
}
