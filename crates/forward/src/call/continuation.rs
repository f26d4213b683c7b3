//! Copies of a stream's KV cache at a second engine, and the continuation of the
//! stream there after its engine has crashed.
//!
//! The engine with the copy continues the same run, so that this is allowed on
//! routes whose calls may run once only. Nothing is ever sent there without
//! naming the copy, which would be a second run, nor before the first engine was
//! shown not to run the call any more. `policy::backup` decides which streams
//! have a copy and where.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::backup::{CopyPlace, NewStream};
use policy::balance::{CopyQuery, ServerRecord};
use policy::rendezvous;
use policy::routes::CallKind;
use spdlog::info;

use super::attempt::CacheSources;
use super::response::is_valid_success;
use super::{Call, StartPoint};
use crate::exchange::{self, ResponseBody, SendError, ServerResponse};
use crate::liveness;
use crate::platform::KvCopy;
use crate::state::State;

/// Longest wait for the end of a run whose stream may be resumed as a new one.
const LOST_RUN_TIMEOUT: Duration = Duration::from_millis(200);

/// The copy of a stream at a second engine. Dropping it ends its count.
#[derive(Debug)]
pub(super) struct Backup {
    state: Rc<State>,
    place: CopyPlace,
    /// Whether the stream may still continue from it.
    usable: Cell<bool>,
    /// Whether the engine has freed it.
    freed: Cell<bool>,
}

impl Drop for Backup {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut copies = self.state.copies.borrow_mut();
        copies.release(now, &self.place, self.freed.get());
    }
}

impl Call {
    /// Chooses the engine for the copy of a stream that is about to be sent to
    /// `source`, if it should have one.
    pub(super) fn reserve_backup(&self, source: &ServerRecord) {
        // A copy for an earlier engine, which has not run the call.
        self.discard_backup();
        if !self.state.settings.backups || self.route.kind != CallKind::Stream {
            return;
        }
        let Some(id) = self.parsed_headers.request_id.as_deref() else {
            return;
        };
        let catalog = self.state.catalog.borrow().clone();
        let service = catalog.as_ref().and_then(|c| c.service(&self.service));
        let Some(engine) = service.and_then(|s| s.engine) else {
            return;
        };
        let now = self.state.clock.now();
        let stream = NewStream {
            prompt_tokens: self.whole_prompt_tokens(),
            answer_tokens: self.output_tokens(),
            tier: self.tier(),
            time_left: self.deadline.saturating_duration_since(now),
        };
        if !stream.is_worth_copy(&engine) {
            return;
        }
        let query = CopyQuery {
            source,
            stream: rendezvous::hash_name(id),
            silence_timeout: self.silence_timeout(),
        };
        let sidecars = self.state.sidecars.borrow().clone();
        let free_tokens =
            |server: &ServerRecord| sidecars.as_ref()?.free_tokens(now, server.addr.ip());
        let place = {
            let balance = self.state.balancer.borrow();
            let hosts = balance.copy_hosts(now, &query);
            let mut copies = self.state.copies.borrow_mut();
            copies.reserve(now, &stream, &engine, &hosts, free_tokens)
        };
        count(if place.is_some() {
            "requested"
        } else {
            "no_room"
        });
        *self.backup.borrow_mut() = place.map(|place| Backup {
            state: Rc::clone(&self.state),
            place,
            usable: Cell::new(true),
            freed: Cell::new(false),
        });
    }

    /// Ends the count of a copy that no engine has begun, because the call has
    /// not run.
    pub(super) fn discard_backup(&self) {
        if let Some(backup) = self.backup.take() {
            backup.freed.set(true);
        }
    }

    /// Prevents a continuation after a response that the entry does not take
    /// for one of the engine, or that is no stream.
    pub(super) fn forgo_backup(&self) {
        if let Some(backup) = &*self.backup.borrow() {
            backup.usable.set(false);
        }
    }

    /// Records that the engine with the copy has freed it, because the stream has
    /// ended successfully, or has none.
    pub(crate) fn record_copy_freed(&self) {
        if let Some(backup) = &*self.backup.borrow() {
            backup.freed.set(true);
        }
    }

    /// The server that a copy of the call was asked for, if any.
    pub(crate) fn backup_server(&self) -> Option<ServerRecord> {
        let backup = self.backup.borrow();
        backup.as_ref().map(|b| b.place.server.clone())
    }

    /// Continues a broken stream after event `last` at the engine with its copy.
    ///
    /// A call without an event is not continued. It may be one that crashes the
    /// engine on arrival, and the second engine would begin it again and crash
    /// as well before it looks for a copy.
    pub(crate) async fn continue_stream(
        &self,
        from: &ServerRecord,
        last: Option<u64>,
        cause: &str,
    ) -> Option<ResponseBody> {
        let response = self.continue_at_copy(from, last?, cause);
        Some(response.await?.body)
    }

    /// Sends the call to the engine with its copy, once at most; `None` if it has
    /// no copy or does not continue there.
    async fn continue_at_copy(
        &self,
        from: &ServerRecord,
        last: u64,
        cause: &str,
    ) -> Option<ServerResponse> {
        let server = {
            let backup = self.backup.borrow();
            let backup = backup.as_ref().filter(|b| b.usable.take())?;
            backup.place.server.clone()
        };
        let unusable = |(outcome, detail): (&'static str, &str)| {
            count(outcome);
            self.log_unusable(outcome, detail);
        };
        let id = self.parsed_headers.request_id.as_deref()?;
        self.check_copy_host(&server).map_err(unusable).ok()?;
        let moved = match self.end_run(from, id, server.addr).await {
            Ok(moved) => moved,
            Err(cause) => {
                unusable(("still_running", &cause));
                return None;
            }
        };
        // The proof may have taken a while.
        if let Err(cause) = self.take_continuation(&server) {
            unusable(cause);
            self.free_moved(from, moved);
            return None;
        }
        let copy = match &moved {
            Some(handle) => KvCopy {
                addr: from.addr,
                handle,
            },
            None => KvCopy {
                addr: server.addr,
                handle: id,
            },
        };
        let sent = self.send_to_copy(&server, last, copy).await;
        if sent.as_ref().is_err_and(SendError::not_run) {
            self.free_moved(from, moved);
        }
        let outcome = match &sent {
            Ok(response) if is_valid_success(response) => "continued",
            Ok(_) => "failed",
            Err(SendError::NotRun(_) | SendError::WrongServer) => "refused",
            Err(_) => "failed",
        };
        count(outcome);
        match sent {
            Ok(response) if outcome == "continued" => {
                info!("stream continued", kv: {
                    id = self.request_id(),
                    from = &*from.id,
                    at = &*server.id,
                    after = last,
                    cause
                });
                Some(response)
            }
            Ok(response) => {
                self.log_unusable(outcome, &format!("status {}", response.status));
                None
            }
            Err(error) => {
                if error.not_run() {
                    self.record_copy_freed();
                }
                self.log_unusable(outcome, &format!("{error:?}"));
                None
            }
        }
    }

    /// Continues a stream that other engines may resume, if the engine `from` still works on
    /// it although its connection has broken: stops the run there and continues from its
    /// memory at another engine. Returns `None` if the stream has to be resumed as a new run.
    pub(crate) async fn move_lost_run(
        &self,
        from: &ServerRecord,
        last: u64,
        tried: &mut Vec<Rc<str>>,
    ) -> Option<ResponseBody> {
        let id = self.parsed_headers.request_id.as_deref()?;
        if !self.engine_moves() || tried.len() >= self.route.max_attempts as usize {
            return None;
        }
        let to = self.resumption_server(tried)?;
        let ended = self.end_run(from, id, to.addr);
        // A new run is allowed, so that the caller need not wait for the proof.
        let ended = tokio::time::timeout(LOST_RUN_TIMEOUT, ended).await;
        let handle = ended.ok()?.ok()??;
        let sent = match self.take_continuation(&to) {
            Ok(()) => {
                let copy = KvCopy {
                    addr: from.addr,
                    handle: &handle,
                };
                self.continue_at(&to, copy, last).await
            }
            Err((_, detail)) => Err(SendError::NeverSent(detail.to_owned())),
        };
        info!("lost run moved", kv: {
            id = self.request_id(),
            from = &*from.id,
            to = &*to.id,
            after = last,
            outcome = sent.as_ref().err().map_or("continued", SendError::label)
        });
        match sent {
            Ok(body) => {
                tried.push(Rc::clone(&to.id));
                Some(body)
            }
            Err(error) => {
                match error.not_run() {
                    true => self.free_moved(from, Some(handle)),
                    false => tried.push(Rc::clone(&to.id)),
                }
                None
            }
        }
    }

    /// Ends the run of the call at the engine `from`, whose connection has broken. Returns
    /// the name of the copy that the engine has made at `to`, if it still worked on the call.
    ///
    /// # Errors
    ///
    /// Returns the cause if nothing shows that the run has ended.
    async fn end_run(
        &self,
        from: &ServerRecord,
        id: &str,
        to: SocketAddr,
    ) -> Result<Option<String>, String> {
        let ended = async {
            if self.engine_moves() {
                return self.state.moves.end_run(from, id, to).await;
            }
            match liveness::has_ended(&self.state, from).await {
                true => Ok(None),
                false => Err("the engine is alive and cannot be told to stop".to_owned()),
            }
        };
        let ended = tokio::time::timeout_at(self.deadline.into(), ended).await;
        ended.unwrap_or_else(|_| Err("the deadline has passed".to_owned()))
    }

    /// Whether the engines of the call's service stop runs when they are asked to, and this
    /// entry asks them.
    fn engine_moves(&self) -> bool {
        let settings = &self.state.settings;
        if !settings.moves && !settings.backups {
            return false;
        }
        let catalog = self.state.catalog.borrow().clone();
        let service = catalog.as_ref().and_then(|c| c.service(&self.service));
        service.and_then(|s| s.engine).is_some_and(|e| e.moves)
    }

    /// Frees the copy that the engine `from` has made of a stopped run.
    fn free_moved(&self, from: &ServerRecord, moved: Option<String>) {
        if let Some(handle) = moved {
            self.state.moves.free(from, handle);
        }
    }

    /// Checks that the call may be sent to the engine with its copy now. Otherwise returns
    /// the outcome and its reason.
    fn check_copy_host(&self, server: &ServerRecord) -> Result<(), (&'static str, &'static str)> {
        let now = self.state.clock.now();
        if now >= self.deadline {
            return Err(("late", "the deadline has passed"));
        }
        if self.blocked_for().is_some() {
            return Err(("blocked", "servers crash while they run the call"));
        }
        if !self.state.balancer.borrow().is_current(now, server) {
            return Err(("gone", "the engine with the copy has left"));
        }
        Ok(())
    }

    /// Like [`check_copy_host`](Self::check_copy_host), right before the call is sent: takes
    /// a retry and the entry's turn there.
    fn take_continuation(&self, server: &ServerRecord) -> Result<(), (&'static str, &'static str)> {
        self.check_copy_host(server)?;
        if !self.take_retry() {
            return Err(("no_retry", "the retry budget is exhausted"));
        }
        let now = self.state.clock.now();
        if !self.take_turn(now, server) {
            return Err(("gone", "the engine with the copy takes no calls"));
        }
        Ok(())
    }

    /// Sends the call to one engine, which continues the run of which it holds
    /// or fetches `copy`.
    async fn send_to_copy(
        &self,
        server: &ServerRecord,
        last: u64,
        copy: KvCopy<'_>,
    ) -> Result<ServerResponse, SendError> {
        let now = self.state.clock.now();
        let sources = CacheSources {
            kv_copy: Some(copy),
            ..CacheSources::default()
        };
        let request = self.build_request(now, server, StartPoint::After(Some(last)), sources);
        let id = self.parsed_headers.request_id.as_deref();
        self.begin_attempt(now);
        let sent = exchange::send(&self.state, server, request, id, self.deadline, None).await;
        if sent.as_ref().is_err_and(|e| *e == SendError::WrongServer) {
            self.mark_replaced(now, server);
        }
        if sent.is_ok() {
            self.record_answer_began();
        }
        self.record_outcome(server, &sent);
        sent.map(|response| ServerResponse {
            sent_at: now,
            ..response
        })
    }

    /// Sends the call again to `server`, to continue after event `last` from `copy`. It
    /// counts as the same run, so no sidecar is asked. The caller takes the retry.
    ///
    /// # Errors
    ///
    /// Returns why the stream does not continue there, and whether it may have run. If it
    /// may, the stream does not continue from its backup either.
    pub(crate) async fn continue_at(
        &self,
        server: &ServerRecord,
        copy: KvCopy<'_>,
        last: u64,
    ) -> Result<ResponseBody, SendError> {
        let sent = self.send_continuation(server, copy, last).await;
        if sent.as_ref().is_err_and(|e| !e.not_run()) {
            self.forgo_backup();
        }
        sent
    }

    async fn send_continuation(
        &self,
        server: &ServerRecord,
        copy: KvCopy<'_>,
        last: u64,
    ) -> Result<ResponseBody, SendError> {
        let now = self.state.clock.now();
        if now >= self.deadline {
            return Err(SendError::TimedOutUnsent);
        }
        if let Some(left) = self.blocked_for() {
            return Err(SendError::CrashesServers(left));
        }
        let sources = CacheSources {
            kv_copy: Some(copy),
            ..CacheSources::default()
        };
        let request = self.build_request(now, server, StartPoint::After(Some(last)), sources);
        let id = self.parsed_headers.request_id.as_deref();
        self.begin_attempt(now);
        let sent = exchange::send(&self.state, server, request, id, self.deadline, None);
        let response = sent.await?;
        self.record_answer_began();
        match is_valid_success(&response) {
            true => Ok(response.body),
            false => Err(SendError::Unknown(format!("status {}", response.status))),
        }
    }

    fn log_unusable(&self, outcome: &str, detail: &str) {
        let at = self.backup_server();
        info!("stream not continued", kv: {
            id = self.request_id(),
            at = at.as_ref().map_or("-", |s| &*s.id),
            outcome,
            detail
        });
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("pimentocart_backups_total", "outcome" => outcome).increment(1);
}
