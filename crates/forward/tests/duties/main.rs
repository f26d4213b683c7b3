//! Tests of the duties with several entries, against a store and a platform in memory.

mod common;

use std::rc::Rc;

use common::{AcceptedOrder, Fleet, UNKNOWN_ZONE, until};

#[actix_rt::test]
async fn usage_reported() {
    // Three entries count calls. The holder reports the counts of all of them, each
    // window once.
    let fleet = Fleet::start(3).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    fleet.count_requests(0, "mairie", 5);
    fleet.count_requests(1, "mairie", 7);
    fleet.count_requests(2, "ecole", 11);
    until("all is reported", || fleet.reported_requests() == 23).await;
    assert_eq!(fleet.platform.requests_of("mairie"), 12);
    assert_eq!(fleet.platform.holders(), 1);
}

#[actix_rt::test]
async fn holder_killed() {
    // The holder is killed after it has sent its counts to its possible successors only.
    // Another entry takes the duties with a higher token and reports the counts; the
    // platform never gets different counts of one window.
    let fleet = Fleet::start(3).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    let (first, token) = fleet.holder().expect("a holder");
    fleet.count_requests(first, "mairie", 5);
    fleet.count_requests((first + 1) % 3, "ecole", 11);
    until("others have counts", || fleet.informed_peers(first) >= 2).await;
    fleet.kill(first);
    until("another entry holds them", || fleet.holder().is_some()).await;
    let (second, next_token) = fleet.holder().expect("a holder");
    assert!(second != first && next_token > token);
    until("all is reported", || fleet.reported_requests() == 16).await;
}

#[actix_rt::test]
async fn holder_stops() {
    // The holder is requested to stop. It releases the duties in the store and announces
    // this, so that its successor takes them at once.
    let fleet = Fleet::start(3).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    let (first, token) = fleet.holder().expect("a holder");
    fleet.stop(first);
    until("another entry holds them", || {
        fleet.holder().is_some_and(|(n, t)| n != first && t > token)
    })
    .await;
    let kept = fleet.store.kept();
    let host = common::ip(
        fleet.fleet_number,
        u8::try_from(first).expect("few entries"),
    );
    assert_eq!(kept.term.previous_host, Some(host));
}

#[actix_rt::test]
async fn report_answer_lost() {
    // The platform accepts a report but its answer is lost, three times. The report is
    // repeated with the same counts, even if another entry has become the holder.
    let fleet = Fleet::start(2).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    fleet.platform.lose_answers(3);
    fleet.count_requests(0, "mairie", 5);
    fleet.count_requests(1, "mairie", 6);
    until("all is reported", || fleet.reported_requests() == 11).await;
    until("answers lost", || fleet.platform.answers_to_lose() == 0).await;
}

/// Guards against reporting a window twice with different counts. The store is restored
/// from a copy in which the window is not finalized yet, and the holder has ended.
#[actix_rt::test]
async fn store_rewound() {
    let fleet = Fleet::start(3).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    let copy = fleet.store.kept();
    let (first, token) = fleet.holder().expect("a holder");
    fleet.count_requests(first, "mairie", 5);
    fleet.count_requests((first + 1) % 3, "ecole", 11);
    until("all is reported", || fleet.reported_requests() == 16).await;
    until("the store keeps no unreported window", || {
        fleet.store.kept().usage.finalized.is_empty()
    })
    .await;
    fleet.kill(first);
    fleet.store.rewind(copy);
    until("another entry holds them", || fleet.holder().is_some()).await;
    let (second, next_token) = fleet.holder().expect("a holder");
    assert!(second != first && next_token > token);
    fleet.count_requests(second, "mairie", 7);
    until("all is reported", || fleet.reported_requests() == 23).await;
}

/// Guards against reporting a window twice with different counts. The store is restored
/// from a copy in which the window is not finalized yet, and the holder restarts on its
/// host at the same time and takes the duties back at once.
#[actix_rt::test]
async fn store_rewound_while_holder_restarts() {
    let mut fleet = Fleet::start(3).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    let copy = fleet.store.kept();
    let (first, _) = fleet.holder().expect("a holder");
    fleet.count_requests(first, "mairie", 5);
    fleet.count_requests((first + 1) % 3, "ecole", 11);
    until("all is reported", || fleet.reported_requests() == 16).await;
    until("the store keeps no unreported window", || {
        fleet.store.kept().usage.finalized.is_empty()
    })
    .await;
    fleet.kill(first);
    fleet.store.rewind(copy);
    fleet.restart(first).await;
    until("an entry holds them", || fleet.holder().is_some()).await;
    fleet.count_requests(first, "mairie", 7);
    until("all is reported", || fleet.reported_requests() == 23).await;
}

#[actix_rt::test]
async fn store_unavailable() {
    // The store is unavailable while a window ends. Counts that it does not keep are not
    // reported; the window is reported once the store is back, before its deadline.
    let fleet = Fleet::start(2).await;
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    fleet.store.unavailable.set(true);
    fleet.count_requests(0, "mairie", 5);
    let calls_before = fleet.platform.calls();
    until("the lease has lapsed", || fleet.holder().is_none()).await;
    let calls_after = fleet.platform.calls();
    assert!(
        calls_after <= calls_before + 1,
        "at most one report, of a window that the store kept"
    );
    fleet.store.unavailable.set(false);
    until("all is reported", || fleet.reported_requests() == 5).await;
}

#[actix_rt::test]
async fn servers_ordered() {
    // All slots of both servers of a service are in use. The holder orders more servers
    // in each zone, and no order has an older token than the one before it.
    let fleet = Fleet::start(3).await;
    (0..3).for_each(|entry| fleet.add_service(entry, 4));
    until("more are ordered in both zones", || {
        fleet.platform.orders().len() >= 2
    })
    .await;
    let orders = fleet.platform.orders();
    // The calls fill two servers, and one zone alone must carry them with 9 of 10 slots
    // busy: three servers.
    assert!(orders.iter().all(|o| o.count == 3), "{orders:?}");
    assert_eq!(zones(&orders), ["a", "b"]);
    assert!(orders.iter().map(|o| o.token).is_sorted(), "{orders:?}");
}

/// Guards against a server record with a zone that the platform does not know, whose refused
/// orders keep all other zones from being ordered.
#[actix_rt::test]
async fn unknown_zone_does_not_hold_up_orders() {
    let fleet = Fleet::start(2).await;
    for entry in 0..2 {
        fleet.add_service(entry, 4);
        fleet.add_server(entry, UNKNOWN_ZONE);
    }
    until("more are ordered in both zones", || {
        zones(&fleet.platform.orders()).len() == 2
    })
    .await;
    assert_eq!(zones(&fleet.platform.orders()), ["a", "b"]);
    assert!(fleet.holder().is_some());
}

#[actix_rt::test]
async fn idle_service_unchanged() {
    // There have been no calls yet. The servers that operators have set up are left as
    // they are, while usage is reported.
    let fleet = Fleet::start(2).await;
    (0..2).for_each(|entry| fleet.add_service(entry, 0));
    until("an entry holds the duties", || fleet.holder().is_some()).await;
    fleet.count_requests(0, "mairie", 5);
    until("all is reported", || fleet.reported_requests() == 5).await;
    assert_eq!(fleet.platform.orders(), []);
}

#[actix_rt::test]
async fn order_answer_lost() {
    // The platform accepts orders but their answers are lost. The holder repeats them
    // with the same or a higher token until both zones are answered.
    let fleet = Fleet::start(2).await;
    fleet.platform.lose_answers(2);
    (0..2).for_each(|entry| fleet.add_service(entry, 4));
    until("both zones are answered", || {
        let orders = fleet.platform.orders();
        let answered: Vec<_> = orders.into_iter().filter(|o| o.answered).collect();
        zones(&answered).len() == 2
    })
    .await;
    let orders = fleet.platform.orders();
    assert!(orders.iter().map(|o| o.token).is_sorted(), "{orders:?}");
}

#[actix_rt::test]
async fn holder_killed_after_order() {
    // The holder has ordered servers and is killed. Its successor does not know of the
    // order; it observes the load and orders with a higher token.
    let fleet = Fleet::start(2).await;
    (0..2).for_each(|entry| fleet.add_service(entry, 4));
    until("servers are ordered", || {
        !fleet.platform.orders().is_empty()
    })
    .await;
    let (first, token) = fleet.holder().expect("a holder");
    fleet.kill(first);
    until("another one orders", || {
        fleet.platform.orders().iter().any(|o| o.token > token)
    })
    .await;
    let orders = fleet.platform.orders();
    assert!(orders.iter().map(|o| o.token).is_sorted(), "{orders:?}");
}

#[actix_rt::test]
async fn autoscale_only() {
    // Autoscaling is the only duty. Nothing is reported, and nothing is counted either,
    // since counts are dropped only after their report.
    let fleet = Fleet::start_with(2, &["autoscale"]).await;
    (0..2).for_each(|entry| fleet.add_service(entry, 4));
    until("servers are ordered", || {
        !fleet.platform.orders().is_empty()
    })
    .await;
    fleet.count_requests(0, "mairie", 5);
    assert_eq!(fleet.counted_requests(0), 0);
    assert_eq!(fleet.platform.windows(), 0);
}

/// The distinct availability zones of the orders.
fn zones(orders: &[AcceptedOrder]) -> Vec<&str> {
    let mut zones: Vec<_> = orders.iter().map(|o| &*o.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

#[actix_rt::test]
async fn no_duties() {
    // The settings name no duties: no port is bound, and nothing is read or written.
    let clock = Rc::new(base::clock::SystemClock);
    let mut settings = common::settings(1, 0, &[]);
    settings.duties = None;
    assert!(forward::duties::Duties::new(&settings, clock).is_none());
}
