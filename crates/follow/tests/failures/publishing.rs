//! What an operator is told.

use base::ids::{BundleSequence, Offset};
use follow::{PublishOutcome, STREAM};

use crate::common::{awa, content, goes_by, luz, run, until};

#[test]
fn publish_reply_lost() {
    // The log writes the record and its reply never comes. The tool looks
    // for the record by its id and finds it, so the operator hears "accepted
    // as 1", and the log has the record once.
    run(async |world| {
        let mut publisher = world.publisher().await;
        world.faults.change(|f| f.lost_replies = 1);
        let told = publisher.publish(&awa(), &content("v1"), None).await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(1))));
        assert_eq!(world.page().await.end_offset, Offset(1));
    });
}

#[test]
fn publish_reply_lost_in_outage() {
    // The log writes the record, loses the reply and goes down, so the tool
    // cannot look. The operator hears "unknown, look again". Trying again
    // after the outage, twice, says "accepted as 1" and writes nothing more.
    run(async |world| {
        let mut publisher = world.publisher().await;
        world.faults.change(|f| {
            f.lost_replies = 1;
            f.loss_delay = base::settings::HumanDuration::ms(100);
        });
        let faults = world.faults.clone();
        actix_rt::spawn(async move {
            until("the reply is lost", || faults.get().lost_replies == 0).await;
            faults.change(|f| f.down = true);
        });
        let told = publisher.publish(&awa(), &content("v1"), None).await;
        assert_eq!(told, Ok(PublishOutcome::Unknown));

        world.down(false);
        for _ in 0..2 {
            let mut again = world.publisher().await;
            let told = again.publish(&awa(), &content("v1"), None).await;
            assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(1))));
        }
        assert_eq!(world.page().await.end_offset, Offset(1));
    });
}

#[test]
fn publish_race_and_reply_lost() {
    // Two operators start from version 1. The first one's record gets the
    // lower offset and its reply is lost; the second one's comes after it.
    // The first hears "accepted as 2", the second "beaten by version 2 of
    // awa", and daemons go by the first. Then it happens once more the other
    // way round.
    run(async |world| {
        let daemon = world.daemon();
        let mut first = world.publisher().await;
        let told = first.publish(&awa(), &content("v1"), None).await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(1))));

        for (sequence, winner_key, loser_key) in [(2, awa(), luz()), (3, luz(), awa())] {
            let (mut one, mut two) = (world.publisher().await, world.publisher().await);
            world.faults.change(|f| f.lost_replies = 1);
            let mark = format!("{}-{sequence}", winner_key.operator);
            let told = one.publish(&winner_key, &content(&mark), None).await;
            assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(sequence))));

            let told = two.publish(&loser_key, &content("lost"), None).await;
            let winner = BundleSequence(sequence);
            let operator = winner_key.operator.clone();
            assert_eq!(told, Ok(PublishOutcome::Conflict { winner, operator }));
            until("the winner is in force", || goes_by(&daemon, &mark)).await;
        }
        assert_eq!(daemon.held.sequence(), BundleSequence(3));
    });
}

#[test]
fn publish_rollback() {
    // Version 2 was a mistake. The operator restores version 1: a new version
    // 3 with the content of version 1, which every daemon goes by.
    run(async |world| {
        let daemon = world.daemon();
        let mut publisher = world.publisher().await;
        for mark in ["v1", "v2"] {
            let told = publisher.publish(&awa(), &content(mark), None).await;
            assert!(matches!(told, Ok(PublishOutcome::Accepted(_))));
        }
        let old = publisher
            .version_content(BundleSequence(1))
            .await
            .expect("the log answers");
        let old = old.expect("the log still has version 1");
        let told = publisher
            .publish(&luz(), &old, Some(BundleSequence(1)))
            .await;
        assert_eq!(told, Ok(PublishOutcome::Accepted(BundleSequence(3))));

        until("version 3 is in force", || {
            daemon.held.sequence() == BundleSequence(3)
        })
        .await;
        assert!(goes_by(&daemon, "v1"));
    });
}

#[test]
fn publish_log_down() {
    // The log is down from the start: the operator hears "unknown", and what
    // comes of it later is seen by looking again.
    run(async |world| {
        let mut publisher = world.publisher().await;
        world.down(true);
        let told = publisher.publish(&awa(), &content("v1"), None).await;
        assert_eq!(told, Ok(PublishOutcome::Unknown));
        world.down(false);
        let found = world
            .log
            .find(STREAM, "none")
            .await
            .expect("the log answers");
        assert_eq!(found, None);
    });
}
