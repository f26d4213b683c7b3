//! Which calls are charged to their workspace.

use std::net::SocketAddr;
use std::rc::Rc;

use base::listen::Binder;
use base::stop::StopSignal;
use forward::duties::Duties;
use forward::settings::Settings;
use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Action, Entry, NOT_RUN, OK, Plan};

/// A call of a workspace, dominated by the prefill of its prompt.
const PREFILL_CALL: &str = "call-id: 1\r\nkey: k\r\nprompt: 3000\r\noutput: 50\r\n";

/// Makes an entry count the usage of workspaces.
async fn count_usage(entry: &Entry) -> Rc<Duties> {
    let own = &entry.state.settings;
    let duties = serde_json::json!({"platform": own.store, "kinds": ["usage_report"]});
    let settings = Settings {
        // The port after the last one is port 0: any free one.
        gossip: SocketAddr::from(([127, 0, 0, 1], u16::MAX)),
        duties: Some(serde_json::from_value(duties).expect("duties")),
        ..own.clone()
    };
    let duties = Duties::new(&settings, Rc::clone(&entry.state.clock)).expect("duties");
    let binder = Binder::new(Rc::clone(&entry.state.clock), StopSignal::new());
    assert!(duties.bind(&binder).await.expect("a port"));
    *entry.state.duties.borrow_mut() = Some(Rc::clone(&duties));
    duties
}

/// Guards against calls missing from the bill that a server has started but
/// whose response was lost before its first byte.
#[rstest]
#[case::lost(&[Action::SendReset("")], 1)]
#[case::closed(&[Action::SendClose("")], 1)]
#[case::served(&[Action::Send(OK)], 1)]
#[case::refused(&[Action::Send(NOT_RUN)], 0)]
#[case::lost_and_served(&[Action::SendReset(""), Action::Send(OK)], 1)]
#[case::refused_and_served(&[Action::Send(NOT_RUN), Action::Send(OK)], 1)]
#[actix_rt::test]
async fn started_calls_charged_once(
    #[case] actions: &[Action],
    #[case] expected: u64,
    #[values(false, true)] engine: bool,
) {
    let mut plan = Plan::new(CallKind::Idempotent, actions.len() as u32, actions);
    plan.keys = true;
    plan.engine = engine;
    let entry = Entry::start(plan).await;
    let duties = count_usage(&entry).await;
    entry.call(PREFILL_CALL).await;
    assert_eq!(duties.requests_of(duties.incarnation()), expected);
}
