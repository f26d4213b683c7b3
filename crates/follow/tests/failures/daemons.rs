//! What daemons go by.

use base::ids::{BundleSequence, Offset};
use base::settings::HumanDuration;
use follow::{ApplyTransfer, PublishOutcome, STREAM};

use crate::common::{Daemon, World, awa, content, goes_by, luz, run, until, until_log};

/// Publishes versions `from..=to`, marked `v1`, `v2` and so on.
async fn publish(world: &World, from: u64, to: u64) {
    let mut publisher = world.publisher().await;
    for n in from..=to {
        let mark = format!("v{n}");
        let told = publisher.publish(&awa(), &content(&mark), None).await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(n))));
    }
}

/// Hands what one daemon holds to another, as calls between them do.
async fn hand_over(from: &Daemon, to: &Daemon) {
    if let Some(bytes) = from.held.transfer_since(to.held.sequence()) {
        let taken = to.follower.send(ApplyTransfer(bytes)).await;
        taken
            .expect("the follower lives")
            .expect("the transfer holds");
    }
}

#[test]
fn follow_outage_in_catch_up() {
    // A fresh daemon reads a long log, slowly. The log goes down before the
    // end is reached, twice. Until then the daemon goes by nothing, since a
    // later record could beat what it read so far; then it goes by the last.
    run(async |world| {
        publish(&world, 1, 6).await;
        // Duplicates make the log longer than one read takes.
        let record = world.page().await.records[0].body.clone();
        for i in 0..600 {
            let id = format!("again-{i}");
            let sent = world.log.append(STREAM, &id, &record);
            sent.await.expect("the log answers");
        }
        publish(&world, 7, 7).await;

        world
            .faults
            .change(|f| f.response_delay = HumanDuration::ms(20));
        let daemon = world.daemon();
        for _ in 0..2 {
            tokio::time::sleep(std::time::Duration::from_millis(30)).await;
            world.down(true);
            until("the outage is seen", || !daemon.held.log_reachable()).await;
            assert!(daemon.held.active_version().is_none() || goes_by(&daemon, "v7"));
            world.down(false);
        }
        until("version 7 is in force", || goes_by(&daemon, "v7")).await;
        assert_eq!(daemon.held.sequence(), BundleSequence(7));
    });
}

#[test]
fn follow_crash_in_outage() {
    // The log is down. A daemon crashes, and the one that replaces it knows
    // nothing. Another daemon that it talks to hands over what it holds, so
    // requests go on by version 2. It crashes once more, and the same again.
    // After the outage version 3 reaches both.
    run(async |world| {
        publish(&world, 1, 2).await;
        let peer = world.daemon();
        until("the peer goes by 2", || goes_by(&peer, "v2")).await;
        world.down(true);

        let mut replaced = world.daemon();
        for _ in 0..2 {
            until("the outage is seen", || !replaced.held.log_reachable()).await;
            assert!(replaced.held.active_version().is_none());
            hand_over(&peer, &replaced).await;
            assert!(goes_by(&replaced, "v2"));
            replaced = world.daemon();
        }
        hand_over(&peer, &replaced).await;

        world.down(false);
        publish(&world, 3, 3).await;
        until("both go by 3", || {
            goes_by(&peer, "v3") && goes_by(&replaced, "v3")
        })
        .await;
    });
}

#[test]
fn follow_fresh_in_outage() {
    // The log is down, and the daemons that a fresh one asks hold different
    // versions. In whatever order they answer, it ends with the highest.
    run(async |world| {
        publish(&world, 1, 1).await;
        let old = world.daemon();
        until("the old peer goes by 1", || goes_by(&old, "v1")).await;
        let first = old
            .held
            .transfer_since(BundleSequence(0))
            .expect("a version");
        publish(&world, 2, 3).await;
        let new = world.daemon();
        until("the new peer goes by 3", || goes_by(&new, "v3")).await;
        let third = new
            .held
            .transfer_since(BundleSequence(0))
            .expect("a version");
        world.down(true);

        for order in [[&first, &third], [&third, &first]] {
            let fresh = world.daemon();
            for bytes in order {
                let taken = fresh.follower.send(ApplyTransfer(bytes.clone())).await;
                let _ = taken.expect("the follower lives");
            }
            assert!(goes_by(&fresh, "v3"));
            assert_eq!(fresh.held.sequence(), BundleSequence(3));
        }
    });
}

#[test]
fn take_forged() {
    // A host that somebody took over offers a bundle signed by nobody whom
    // the settings or the bundle in force name. The daemon keeps its own.
    run(async |world| {
        publish(&world, 1, 1).await;
        let daemon = world.daemon();
        until("version 1 is in force", || goes_by(&daemon, "v1")).await;
        let offered = daemon
            .held
            .transfer_since(BundleSequence(0))
            .expect("a version");
        let text = String::from_utf8(offered.to_vec()).expect("JSON");
        let text = text.replace("\\\"sequence\\\":1", "\\\"sequence\\\":2");
        let taken = daemon.follower.send(ApplyTransfer(text.into())).await;
        assert!(taken.expect("the follower lives").is_err());
        assert_eq!(daemon.held.sequence(), BundleSequence(1));
    });
}

#[test]
fn follow_duplicate_after_expiry() {
    // luz beat awa for version 2. The records expire, kept alive only by the
    // checkpoints that daemons append by themselves. Then a duplicate of
    // awa's record surfaces. A fresh daemon, which never saw luz's record,
    // goes by luz's version all the same.
    run(async |world| {
        publish(&world, 1, 1).await;
        let (mut one, mut two) = (world.publisher().await, world.publisher().await);
        let told = one.publish(&luz(), &content("luz"), None).await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(2))));
        let told = two.publish(&awa(), &content("awa"), None).await;
        assert!(matches!(told, Ok(PublishOutcome::Conflict { .. })));
        let beaten = world.page().await.records[2].clone();
        assert_eq!(beaten.offset, Offset(2));

        world
            .faults
            .change(|f| f.retention = HumanDuration::ms(800));
        let daemons = [world.daemon(), world.daemon(), world.daemon()];
        let records = "the records of both versions have expired";
        until_log(&world, records, |p| {
            p.first_offset > beaten.offset && p.first_offset < p.end_offset
        })
        .await;
        let sent = world.log.append(STREAM, &beaten.id, &beaten.body);
        sent.await.expect("the log answers");

        let fresh = world.daemon();
        until("the fresh daemon has a bundle", || {
            fresh.held.active_version().is_some()
        })
        .await;
        assert!(goes_by(&fresh, "luz"));
        assert!(daemons.iter().all(|d| goes_by(d, "luz")));
    });
}

#[test]
fn follow_outage_beyond_retention() {
    // The log is down for longer than it keeps records, and comes back
    // empty. Daemons go on by what they hold and append it anew, so a fresh
    // daemon gets it from the log, and the next version follows on.
    run(async |world| {
        publish(&world, 1, 2).await;
        let daemon = world.daemon();
        until("version 2 is in force", || goes_by(&daemon, "v2")).await;
        world
            .faults
            .change(|f| f.retention = HumanDuration::ms(400));
        world.down(true);
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        world.down(false);

        let fresh = world.daemon();
        until("the fresh daemon goes by 2", || goes_by(&fresh, "v2")).await;
        publish(&world, 3, 3).await;
        until("both go by 3", || {
            goes_by(&daemon, "v3") && goes_by(&fresh, "v3")
        })
        .await;
    });
}

#[test]
fn settle_not_understood() {
    // A newer build's operators use a field that this build does not know.
    // The version is accepted, so that this daemon agrees with the others on
    // what follows, and requests go on by the version before. The next one
    // that it understands is in force again.
    run(async |world| {
        publish(&world, 1, 1).await;
        let daemon = world.daemon();
        until("version 1 is in force", || goes_by(&daemon, "v1")).await;

        let mut json = content("v2").to_json();
        json["models"]["v2"]["later"] = serde_json::json!(true);
        let later = bundle::Content::from_json(&json).expect("an object of objects");
        let mut publisher = world.publisher().await;
        let told = publisher.publish(&awa(), &later, None).await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(2))));
        let told = publisher.publish(&awa(), &content("v3"), None).await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(3))));
        until("version 3 is in force", || goes_by(&daemon, "v3")).await;
    });
}
