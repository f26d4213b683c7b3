//! Finding out whether a backend server has ended, and under which calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;

use policy::balance::Listed;
use policy::suspects::Print;
use spdlog::info;

use crate::pool::Pool;
use crate::state::State;

/// Calls whose connections broke, by server, until it is known why.
#[derive(Debug, Default)]
pub struct Ends {
    broken: RefCell<HashMap<Rc<str>, Vec<Print>>>,
}

/// Notes that the connection of call `print` to `server` broke before its
/// answer was whole. Whether the server has ended is found out by connecting to
/// it once more: a lost connection alone says nothing of the request.
pub(crate) fn broke(state: &Rc<State>, server: &Listed, print: Print) {
    let mut broken = state.ends.broken.borrow_mut();
    let prints = broken.entry(Rc::clone(&server.id)).or_default();
    let first = prints.is_empty();
    prints.push(print);
    if first {
        actix_rt::spawn(look(Rc::clone(state), server.clone()));
    }
}

/// Looks whether `server` has ended.
async fn look(state: Rc<State>, server: Listed) {
    let now = state.clock.now();
    let dialled = Pool::dial(now, server.addr).await;
    let prints = state.ends.broken.borrow_mut().remove(&server.id);
    let prints = prints.unwrap_or_default();
    let outcome = match dialled {
        Ok(conn) => {
            state.pool.put(now, &server.id, conn);
            "alive"
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => "ended",
        // A host that does not answer may be cut off, with its server well.
        Err(_) => "unknown",
    };
    metrics::counter!("pimentocart_connections_broken_total", "server" => outcome)
        .increment(prints.len() as u64);
    for print in prints {
        info!("connection broken", kv: {
            server = &*server.id,
            outcome,
            print = print.to_string().as_str()
        });
    }
}
