//! Which calls count as used by their workspace.

use std::net::SocketAddr;
use std::rc::Rc;

use forward::duties::Duties;
use forward::settings::Settings;
use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Act, Entry, NOT_RUN, OK, Plan};

/// A call of a workspace whose time goes into reading its prompt.
const READS: &str = "call-id: 1\r\nkey: k\r\nprompt: 3000\r\noutput: 50\r\n";

/// Has an entry count what workspaces use.
async fn count(entry: &Entry) -> Rc<Duties> {
    let own = &entry.state.settings;
    let duties = serde_json::json!({"platform": own.store, "kinds": ["usage_report"]});
    let settings = Settings {
        // The port after the last one is any that is free.
        gossip: SocketAddr::from(([127, 0, 0, 1], u16::MAX)),
        duties: Some(serde_json::from_value(duties).expect("duties")),
        ..own.clone()
    };
    let bound = Duties::bind(&settings, Rc::clone(&entry.state.clock)).await;
    let duties = bound.expect("a port").expect("duties");
    *entry.state.duties.borrow_mut() = Some(Rc::clone(&duties));
    duties
}

/// Guards against calls that a server has begun missing in the bill, since its
/// answer was lost before anything of it came.
#[rstest]
#[case::lost(&[Act::SendReset("")], 1)]
#[case::closed(&[Act::SendClose("")], 1)]
#[case::served(&[Act::Send(OK)], 1)]
#[case::refused(&[Act::Send(NOT_RUN)], 0)]
#[case::lost_and_served(&[Act::SendReset(""), Act::Send(OK)], 1)]
#[case::refused_and_served(&[Act::Send(NOT_RUN), Act::Send(OK)], 1)]
#[actix_rt::test]
async fn begun_calls_count_once(
    #[case] acts: &[Act],
    #[case] wanted: u64,
    #[values(false, true)] engine: bool,
) {
    let mut plan = Plan::new(CallKind::Idempotent, acts.len() as u32, acts);
    plan.keys = true;
    plan.engine = engine;
    let entry = Entry::start(plan).await;
    let duties = count(&entry).await;
    entry.call(READS).await;
    assert_eq!(duties.requests_of(duties.incarnation()), wanted);
}
