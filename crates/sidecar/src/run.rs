//! Running one ticket at the backend server.

use std::rc::Rc;

use base::reason::{Ran, Refusal};
use bytes::Bytes;
use futures_util::StreamExt;
use platform::engine::{Engine, Error, Event};
use platform::plain::Plain;
use spdlog::warn;
use wire::{End, Piece, Work};

use crate::state::{Client, Entry, State, broken};

/// Runs one ticket to its end.
pub async fn run(state: Rc<State>, entry: Rc<Entry>, work: Work) {
    let end = match (&state.backend, work) {
        (Client::Engine(engine), Work::Completion { body, .. }) => {
            complete(&state, &entry, engine, body).await
        }
        (
            Client::Plain(plain),
            Work::Call {
                method,
                path,
                content_type,
                body,
            },
        ) => call(&state, &entry, plain, (&method, &path, &content_type), body).await,
        _ => broken(Refusal::UnknownTarget, Ran::No),
    };
    state.finish(&entry, end);
}

/// Runs a completion at an engine and passes its tokens on.
async fn complete(state: &State, entry: &Entry, engine: &Engine, body: Bytes) -> End {
    let events = match engine.run(entry.ticket, entry.tier, body).await {
        Ok(events) => events,
        Err(e) => {
            warn!("run failed", kv: { ticket = entry.ticket.to_string().as_str(), error = e.to_string().as_str() });
            return failed(&e);
        }
    };

    let mut events = std::pin::pin!(events);
    loop {
        let event = tokio::select! {
            event = events.next() => event,
            () = entry.stop.wait() => {
                // What the engine still makes for it would be wasted.
                let _ = engine.cancel(entry.ticket).await;
                return state.stopped(entry);
            }
        };
        match event {
            Some(Ok(Event::Token { text, .. })) => {
                state.push(
                    entry,
                    Piece {
                        tokens: 1,
                        data: Bytes::from(text),
                    },
                );
            }
            Some(Ok(Event::End {
                count,
                finish,
                cached,
            })) => {
                return End::Whole {
                    count,
                    status: 200,
                    finish,
                    cached,
                };
            }
            Some(Err(_)) | None => {
                let ran = if state.made(entry) > 0 {
                    Ran::Partial
                } else {
                    Ran::Unknown
                };
                return broken(Refusal::BackendFailed, ran);
            }
        }
    }
}

/// Makes a call of a plain service.
async fn call(
    state: &State,
    entry: &Entry,
    plain: &Plain,
    (method, path, content_type): (&str, &str, &str),
    body: Bytes,
) -> End {
    match plain
        .call(entry.ticket, method, path, content_type, body)
        .await
    {
        Ok(answer) => {
            state.push(
                entry,
                Piece {
                    tokens: 0,
                    data: answer.body,
                },
            );
            End::Whole {
                count: 1,
                status: answer.status,
                finish: answer.content_type,
                cached: 0,
            }
        }
        Err(e) => failed(&e),
    }
}

/// The end of a request that the backend server did not take.
fn failed(error: &Error) -> End {
    // A body that one engine finds faulty is faulty for all: told as the
    // engine's failure, it would be tried at each of them in turn.
    if matches!(
        error,
        Error::Refused {
            status: 400 | 413 | 422,
            ..
        }
    ) {
        return broken(Refusal::BadRequest, Ran::No);
    }
    let ran = if error.not_run() {
        Ran::No
    } else {
        Ran::Unknown
    };
    broken(Refusal::BackendFailed, ran)
}
