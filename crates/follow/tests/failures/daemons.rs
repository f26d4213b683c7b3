//! Active versions of daemons during failures.

use base::ids::{BundleSequence, Offset};
use base::settings::HumanDuration;
use follow::{ApplyTransfer, PublishOutcome, STREAM};

use crate::common::{
    Daemon, TestLog, awa, content, is_active, luz, run, wait_until, wait_until_log,
};

/// Publishes versions `from..=to` with the models `v1`, `v2` and so on.
async fn publish(world: &TestLog, from: u64, to: u64) {
    let mut publisher = world.publisher().await;
    for n in from..=to {
        let model = format!("v{n}");
        let outcome = publisher.publish(&awa(), &content(&model), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(n))));
    }
}

/// Transfers the bundle from one daemon to another, as calls between them do.
async fn transfer_bundle(from: &Daemon, to: &Daemon) {
    if let Some(bytes) = from.held.transfer_since(to.held.sequence()) {
        let applied = to.follower.send(ApplyTransfer(bytes)).await;
        applied
            .expect("the follower is running")
            .expect("the transfer is valid");
    }
}

#[test]
fn follow_outage_in_catch_up() {
    // A new daemon reads a long log slowly, and the log goes down twice before
    // the end is reached. Until then no version may be active, because a later
    // record could replace it. At the end the last version is active.
    run(async |world| {
        publish(&world, 1, 6).await;
        // The duplicates make the log longer than one page.
        let record = world.page().await.records[0].body.clone();
        for i in 0..600 {
            let id = format!("again-{i}");
            let sent = world.log.append(STREAM, &id, &record);
            sent.await.expect("the log replies");
        }
        publish(&world, 7, 7).await;

        world
            .faults
            .change(|f| f.response_delay = HumanDuration::ms(20));
        let daemon = world.daemon();
        for _ in 0..2 {
            tokio::time::sleep(std::time::Duration::from_millis(30)).await;
            world.down(true);
            wait_until("the outage is detected", || !daemon.held.log_reachable()).await;
            assert!(daemon.held.active_version().is_none() || is_active(&daemon, "v7"));
            world.down(false);
        }
        wait_until("version 7 is active", || is_active(&daemon, "v7")).await;
        assert_eq!(daemon.held.sequence(), BundleSequence(7));
    });
}

#[test]
fn follow_crash_in_outage() {
    // While the log is down, a daemon crashes and is replaced by an empty one. A
    // peer transfers its bundle, so that version 2 is active again. The daemon
    // crashes a second time. After the outage both activate version 3.
    run(async |world| {
        publish(&world, 1, 2).await;
        let peer = world.daemon();
        wait_until("version 2 is active at the peer", || is_active(&peer, "v2")).await;
        world.down(true);

        let mut replaced = world.daemon();
        for _ in 0..2 {
            wait_until("the outage is detected", || !replaced.held.log_reachable()).await;
            assert!(replaced.held.active_version().is_none());
            transfer_bundle(&peer, &replaced).await;
            assert!(is_active(&replaced, "v2"));
            replaced = world.daemon();
        }
        transfer_bundle(&peer, &replaced).await;

        world.down(false);
        publish(&world, 3, 3).await;
        wait_until("version 3 is active at both", || {
            is_active(&peer, "v3") && is_active(&replaced, "v3")
        })
        .await;
    });
}

#[test]
fn follow_fresh_in_outage() {
    // While the log is down, a new daemon receives different versions from two
    // peers. Independent of their order, the highest version must be active.
    run(async |world| {
        publish(&world, 1, 1).await;
        let old = world.daemon();
        wait_until("version 1 is active at the old peer", || {
            is_active(&old, "v1")
        })
        .await;
        let first = old
            .held
            .transfer_since(BundleSequence(0))
            .expect("a newer version");
        publish(&world, 2, 3).await;
        let new = world.daemon();
        wait_until("version 3 is active at the new peer", || {
            is_active(&new, "v3")
        })
        .await;
        let third = new
            .held
            .transfer_since(BundleSequence(0))
            .expect("a newer version");
        world.down(true);

        for order in [[&first, &third], [&third, &first]] {
            let fresh = world.daemon();
            for bytes in order {
                let applied = fresh.follower.send(ApplyTransfer(bytes.clone())).await;
                let _ = applied.expect("the follower is running");
            }
            assert!(is_active(&fresh, "v3"));
            assert_eq!(fresh.held.sequence(), BundleSequence(3));
        }
    });
}

#[test]
fn apply_transfer_forged() {
    // A compromised host sends a bundle without a valid signature by a trusted
    // operator. The daemon must keep its own version.
    run(async |world| {
        publish(&world, 1, 1).await;
        let daemon = world.daemon();
        wait_until("version 1 is active", || is_active(&daemon, "v1")).await;
        let offered = daemon
            .held
            .transfer_since(BundleSequence(0))
            .expect("a newer version");
        let text = String::from_utf8(offered.to_vec()).expect("UTF-8");
        let text = text.replace("\\\"sequence\\\":1", "\\\"sequence\\\":2");
        let applied = daemon.follower.send(ApplyTransfer(text.into())).await;
        assert!(applied.expect("the follower is running").is_err());
        assert_eq!(daemon.held.sequence(), BundleSequence(1));
    });
}

#[test]
fn follow_duplicate_after_expiry() {
    // luz's version 2 was accepted before awa's. Both records expire, and only
    // the checkpoints that daemons append contain the version. Then a duplicate
    // of awa's record is appended. A new daemon, which never saw luz's record,
    // must still activate luz's version.
    run(async |world| {
        publish(&world, 1, 1).await;
        let (mut one, mut two) = (world.publisher().await, world.publisher().await);
        let outcome = one.publish(&luz(), &content("luz"), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(2))));
        let outcome = two.publish(&awa(), &content("awa"), None).await;
        assert!(matches!(outcome, Ok(PublishOutcome::Conflict { .. })));
        let beaten = world.page().await.records[2].clone();
        assert_eq!(beaten.offset, Offset(2));

        world
            .faults
            .change(|f| f.retention = HumanDuration::ms(800));
        let daemons = [world.daemon(), world.daemon(), world.daemon()];
        let records = "the records of both versions have expired";
        wait_until_log(&world, records, |p| {
            p.first_offset > beaten.offset && p.first_offset < p.end_offset
        })
        .await;
        let sent = world.log.append(STREAM, &beaten.id, &beaten.body);
        sent.await.expect("the log replies");

        let fresh = world.daemon();
        wait_until("a version is active at the new daemon", || {
            fresh.held.active_version().is_some()
        })
        .await;
        assert!(is_active(&fresh, "luz"));
        assert!(daemons.iter().all(|d| is_active(d, "luz")));
    });
}

#[test]
fn follow_outage_beyond_retention() {
    // The log is down for longer than its retention and returns empty. Daemons
    // keep their version and append it as a checkpoint, so that a new daemon
    // reads it from the log and the next version can be published.
    run(async |world| {
        publish(&world, 1, 2).await;
        let daemon = world.daemon();
        wait_until("version 2 is active", || is_active(&daemon, "v2")).await;
        world
            .faults
            .change(|f| f.retention = HumanDuration::ms(400));
        world.down(true);
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        world.down(false);

        let fresh = world.daemon();
        wait_until("version 2 is active at the new daemon", || {
            is_active(&fresh, "v2")
        })
        .await;
        publish(&world, 3, 3).await;
        wait_until("version 3 is active at both", || {
            is_active(&daemon, "v3") && is_active(&fresh, "v3")
        })
        .await;
    });
}

#[test]
fn activate_unknown_field() {
    // A version contains a field of a newer build that this build does not know.
    // It is accepted, so that all daemons agree on its successors, but the
    // previous version stays active. The next version that this build can parse
    // is activated.
    run(async |world| {
        publish(&world, 1, 1).await;
        let daemon = world.daemon();
        wait_until("version 1 is active", || is_active(&daemon, "v1")).await;

        let mut json = content("v2").to_json();
        json["models"]["v2"]["later"] = serde_json::json!(true);
        let later = bundle::Content::from_json(&json).expect("valid content");
        let mut publisher = world.publisher().await;
        let outcome = publisher.publish(&awa(), &later, None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(2))));
        let outcome = publisher.publish(&awa(), &content("v3"), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(3))));
        wait_until("version 3 is active", || is_active(&daemon, "v3")).await;
    });
}
