//! Copies of a stream's KV cache at a second engine, and the continuation of the
//! stream there after its engine has crashed.
//!
//! The engine with the copy continues the same run, so that this is allowed on
//! routes whose calls may run once only. Nothing is ever sent there without
//! naming the copy, which would be a second run. `policy::backup` decides which
//! streams have a copy and where.

use std::cell::Cell;
use std::rc::Rc;

use policy::backup::{CopyPlace, NewStream};
use policy::balance::{CopyQuery, ServerRecord};
use policy::rendezvous;
use policy::routes::CallKind;
use spdlog::info;

use super::attempt::CacheSources;
use super::response::is_valid_success;
use super::{Call, StartPoint};
use crate::exchange::{self, ResponseBody, SendError, ServerResponse};
use crate::platform::KvCopy;
use crate::state::State;

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
        from: &str,
        last: Option<u64>,
        cause: &str,
    ) -> Option<ResponseBody> {
        let response = self.continue_at_copy(from, last?, cause);
        Some(response.await?.body)
    }

    /// Sends the call to the engine with its copy, once at most; `None` if it has
    /// no copy or does not continue there.
    async fn continue_at_copy(&self, from: &str, last: u64, cause: &str) -> Option<ServerResponse> {
        let server = {
            let backup = self.backup.borrow();
            let backup = backup.as_ref().filter(|b| b.usable.take())?;
            backup.place.server.clone()
        };
        if let Err((outcome, detail)) = self.may_continue_at(&server) {
            count(outcome);
            self.log_unusable(outcome, detail);
            return None;
        }
        let handle = self.parsed_headers.request_id.as_deref()?;
        let copy = KvCopy {
            addr: server.addr,
            handle,
        };
        let sent = self.send_to_copy(&server, last, copy).await;
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
                    from,
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

    /// Checks that the call may be sent to the engine with its copy now, and
    /// takes a retry and the entry's turn there. Otherwise returns the outcome
    /// and its reason.
    fn may_continue_at(&self, server: &ServerRecord) -> Result<(), (&'static str, &'static str)> {
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
        if !self.take_retry() {
            return Err(("no_retry", "the retry budget is exhausted"));
        }
        if !self.state.balancer.borrow_mut().take_turn(now, &server.id) {
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
        let id = Some(copy.handle);
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
    /// Returns why the stream does not continue there, and whether it may have run.
    pub(crate) async fn continue_at(
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
