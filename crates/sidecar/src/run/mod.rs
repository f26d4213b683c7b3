//! Runs one request at the backend server.
//!
//! - `engine`: runs a completion at a model engine and resumes its stream.

mod engine;

pub(crate) use engine::StreamFault;

use std::rc::Rc;

use base::reason::{Executed, Refusal};
use bytes::Bytes;
use clients::engine::Error;
use clients::plain::PlainClient;
use wire::{BackendRequest, Chunk, ResponseEnd};

use crate::health;
use crate::state::{BackendClient, Request, State, interrupted};

/// Runs one request to its end.
pub async fn run(state: Rc<State>, request: Rc<Request>, work: BackendRequest) {
    let end = match (&state.backend, work) {
        (BackendClient::Engine(engine), BackendRequest::Completion { body, .. }) => {
            engine::complete(&state, &request, engine, body).await
        }
        (
            BackendClient::Plain(plain),
            BackendRequest::Call {
                method,
                path,
                content_type,
                body,
            },
        ) => {
            call(
                &state,
                &request,
                plain,
                (&method, &path, &content_type),
                body,
            )
            .await
        }
        _ => interrupted(Refusal::UnknownTarget, Executed::No),
    };
    state.finish(&request, end);
}

/// Makes one call to a plain service.
async fn call(
    state: &State,
    request: &Request,
    plain: &PlainClient,
    (method, path, content_type): (&str, &str, &str),
    body: Bytes,
) -> ResponseEnd {
    match plain
        .call(request.ticket, method, path, content_type, body)
        .await
    {
        Ok(response) => {
            state.push_chunk(
                request,
                Chunk {
                    tokens: 0,
                    data: response.body,
                },
            );
            ResponseEnd::Complete {
                chunk_count: 1,
                status: response.status,
                finish_reason: response.content_type,
                cached_tokens: 0,
            }
        }
        Err(e) => {
            health::record_error(state, &e);
            failed(&e)
        }
    }
}

/// The end of a request whose call to the backend server failed.
fn failed(error: &Error) -> ResponseEnd {
    // A body that one engine rejects as invalid is invalid for all. Reported as
    // a failure of the engine, it would be retried at each of them in turn.
    if matches!(
        error,
        Error::Refused {
            status: 400 | 413 | 422,
            ..
        }
    ) {
        return interrupted(Refusal::BadRequest, Executed::No);
    }
    let ran = if error.not_run() {
        Executed::No
    } else {
        Executed::Unknown
    };
    interrupted(Refusal::BackendFailed, ran)
}
