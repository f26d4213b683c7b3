//! The events of an answer.

use std::io;
use std::rc::Rc;

use actix_web::HttpResponse;
use bytes::Bytes;
use clients::engine::{Choice, Chunk, Usage};
use futures_util::stream;

use super::batch::{Batch, Request};

/// A reader of one answer.
struct Reader {
    batch: Rc<Batch>,
    request: Rc<Request>,
    /// The number of the next token.
    next: u32,
    /// The faults' count of mutings when the stream was opened.
    muted: u32,
}

/// The events of a request from token number `from` on.
pub(super) fn events(batch: Rc<Batch>, request: Rc<Request>, from: u32) -> HttpResponse {
    let muted = batch.faults.get().muted;
    let reader = Reader {
        batch,
        request,
        next: from,
        muted,
    };
    let body = stream::unfold(Some(reader), |reader| async move {
        let mut reader = reader?;
        let (text, over) = reader.more().await?;
        let reader = (!over).then_some(reader);
        Some((Ok::<_, io::Error>(Bytes::from(text)), reader))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}

impl Reader {
    /// Waits for further tokens; the flag says that the answer is whole.
    async fn more(&mut self) -> Option<(String, bool)> {
        loop {
            let changed = self.request.changed.notified();
            if self.request.cancelled.get() {
                return None;
            }
            if self.batch.faults.get().muted != self.muted {
                std::future::pending::<()>().await;
            }

            let mut text = String::new();
            while self.next < self.request.made.get() {
                write_token(&mut text, &self.request, self.next);
                self.next += 1;
            }
            let over = self.request.ended.get().is_some();
            if over {
                write_end(&mut text, &self.request);
            }
            if !text.is_empty() {
                return Some((text, over));
            }
            changed.await;
        }
    }
}

fn write_token(out: &mut String, request: &Request, seq: u32) {
    let choice = Choice {
        text: format!("{}:{seq} ", request.mark),
        finish_reason: None,
    };
    let chunk = Chunk {
        seq,
        choices: vec![choice],
        usage: None,
    };
    write_event(out, &chunk);
}

fn write_end(out: &mut String, request: &Request) {
    let choice = Choice {
        text: String::new(),
        finish_reason: Some("stop".to_owned()),
    };
    let made = request.made.get();
    let usage = Usage {
        prompt_tokens: request.prompt,
        completion_tokens: made,
        cached_tokens: request.cached,
    };
    let chunk = Chunk {
        seq: made,
        choices: vec![choice],
        usage: Some(usage),
    };
    write_event(out, &chunk);
    out.push_str("data: [DONE]\n\n");
}

fn write_event(out: &mut String, chunk: &Chunk) {
    if let Ok(json) = serde_json::to_string(chunk) {
        out.push_str("data: ");
        out.push_str(&json);
        out.push_str("\n\n");
    }
}
