//! Fair shares of full services between workspaces.

use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Action, Entry, NOT_RUN, Plan, header, status};

/// Guards against a full service rejecting calls of all workspaces alike while
/// one floods it. Calls above the share must not reach a server, must say when
/// to return, and must not be refused while the setting is off or the service
/// has engines.
#[rstest]
#[case::on(true, false)]
#[case::off(false, false)]
#[case::engine(true, true)]
#[actix_rt::test]
async fn flood_refused_before_servers(#[case] fair: bool, #[case] engine: bool) {
    let actions = vec![Action::Send(NOT_RUN); 40];
    let mut plan = Plan::new(CallKind::Once, 1, &actions);
    (plan.keys, plan.fair_shares, plan.engine) = (true, fair, engine);
    let entry = Entry::start(plan).await;
    let mut refused = 0;
    for _ in 0..20 {
        let answer = entry.call("call-id: 1\r\nkey: k\r\n").await;
        let after = header(&answer, "retry-after").and_then(|a| a.parse::<f64>().ok());
        assert!(after.is_some_and(|a| a > 0.0), "{answer}");
        if answer.contains("over_share") {
            assert_eq!(status(&answer), "503");
            refused += 1;
        }
    }
    let sent = entry.servers.requests().len();
    assert_eq!(sent + refused, 20);
    assert_eq!(refused > 0, fair && !engine, "{refused} of 20 refused");
    // Another workspace with a single call is within its share.
    entry.call("call-id: 2\r\nkey: other\r\n").await;
    assert_eq!(entry.servers.requests().len(), sent + 1);
}
