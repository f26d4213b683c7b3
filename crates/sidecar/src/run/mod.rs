//! Running one ticket at the backend server.
//!
//! - `engine`: at a model engine, whose streams are resumed.

mod engine;

pub(crate) use engine::Fault;

use std::rc::Rc;

use base::reason::{Executed, Refusal};
use bytes::Bytes;
use clients::engine::Error;
use clients::plain::PlainClient;
use wire::{BackendRequest, Chunk, ResponseEnd};

use crate::health;
use crate::state::{Client, Entry, State, broken};

/// Runs one ticket to its end.
pub async fn run(state: Rc<State>, entry: Rc<Entry>, work: BackendRequest) {
    let end = match (&state.backend, work) {
        (Client::Engine(engine), BackendRequest::Completion { body, .. }) => {
            engine::complete(&state, &entry, engine, body).await
        }
        (
            Client::Plain(plain),
            BackendRequest::Call {
                method,
                path,
                content_type,
                body,
            },
        ) => call(&state, &entry, plain, (&method, &path, &content_type), body).await,
        _ => broken(Refusal::UnknownTarget, Executed::No),
    };
    state.finish(&entry, end);
}

/// Makes a call of a plain service.
async fn call(
    state: &State,
    entry: &Entry,
    plain: &PlainClient,
    (method, path, content_type): (&str, &str, &str),
    body: Bytes,
) -> ResponseEnd {
    match plain
        .call(entry.ticket, method, path, content_type, body)
        .await
    {
        Ok(answer) => {
            state.push(
                entry,
                Chunk {
                    tokens: 0,
                    data: answer.body,
                },
            );
            ResponseEnd::Complete {
                chunk_count: 1,
                status: answer.status,
                finish_reason: answer.content_type,
                cached_tokens: 0,
            }
        }
        Err(e) => {
            health::note(state, &e);
            failed(&e)
        }
    }
}

/// The end of a request that the backend server did not take.
fn failed(error: &Error) -> ResponseEnd {
    // A body that one engine finds faulty is faulty for all: told as the
    // engine's failure, it would be tried at each of them in turn.
    if matches!(
        error,
        Error::Refused {
            status: 400 | 413 | 422,
            ..
        }
    ) {
        return broken(Refusal::BadRequest, Executed::No);
    }
    let ran = if error.not_run() {
        Executed::No
    } else {
        Executed::Unknown
    };
    broken(Refusal::BackendFailed, ran)
}
