//! Event stream of a response.

use std::io;
use std::rc::Rc;

use actix_web::HttpResponse;
use bytes::Bytes;
use clients::engine::{Choice, Chunk, Usage};
use futures_util::stream;

use super::batch::{Batch, Request};

/// State of one client's stream of a request's events.
struct EventStream {
    batch: Rc<Batch>,
    request: Rc<Request>,
    /// Sequence number of the next token.
    next_seq: u32,
    /// Value of the fault `mute_generation` when the stream was opened.
    mute_generation: u32,
}

/// Streams the events of a request, starting at token `from`.
pub(super) fn stream_events(batch: Rc<Batch>, request: Rc<Request>, from: u32) -> HttpResponse {
    let mute_generation = batch.faults.get().mute_generation;
    let stream_state = EventStream {
        batch,
        request,
        next_seq: from,
        mute_generation,
    };
    let body = stream::unfold(Some(stream_state), |stream_state| async move {
        let mut stream_state = stream_state?;
        let (text, finished) = stream_state.next_events().await?;
        let stream_state = (!finished).then_some(stream_state);
        Some((Ok::<_, io::Error>(Bytes::from(text)), stream_state))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}

impl EventStream {
    /// Waits for further tokens and returns their events. The flag is set with the
    /// last events of the response; `None` means that the request was cancelled.
    async fn next_events(&mut self) -> Option<(String, bool)> {
        loop {
            let changed = self.request.changed.notified();
            if self.request.cancelled.get() {
                return None;
            }
            if self.batch.faults.get().mute_generation != self.mute_generation {
                std::future::pending::<()>().await;
            }

            let mut text = String::new();
            while self.next_seq < self.request.generated.get() {
                write_token(&mut text, &self.request, self.next_seq);
                self.next_seq += 1;
            }
            let finished = self.request.ended_at.get().is_some();
            if finished {
                write_end(&mut text, &self.request);
            }
            if !text.is_empty() {
                return Some((text, finished));
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
    let generated = request.generated.get();
    let usage = Usage {
        prompt_tokens: request.prompt_tokens,
        completion_tokens: generated,
        cached_tokens: request.cached_tokens,
    };
    let chunk = Chunk {
        seq: generated,
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
