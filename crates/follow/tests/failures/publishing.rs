//! Outcomes reported to a publishing operator.

use base::ids::{BundleSequence, Offset};
use follow::{PublishOutcome, STREAM};

use crate::common::{awa, content, is_active, luz, run, wait_until};

#[test]
fn publish_reply_lost() {
    // The record is appended but the reply is lost. The publisher finds the
    // record by its id and reports it as version 1. It is in the log only once.
    run(async |world| {
        let mut publisher = world.publisher().await;
        world.faults.change(|f| f.lost_replies = 1);
        let outcome = publisher.publish(&awa(), &content("v1"), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(1))));
        assert_eq!(world.page().await.end_offset, Offset(1));
    });
}

#[test]
fn publish_reply_lost_in_outage() {
    // The record is appended, the reply is lost and the log goes down, so the
    // publisher cannot look for the record and reports an unknown outcome. Two
    // retries after the outage report version 1 as accepted and append nothing.
    run(async |world| {
        let mut publisher = world.publisher().await;
        world.faults.change(|f| {
            f.lost_replies = 1;
            f.loss_delay = base::settings::HumanDuration::ms(100);
        });
        let faults = world.faults.clone();
        actix_rt::spawn(async move {
            wait_until("the reply is lost", || faults.get().lost_replies == 0).await;
            faults.change(|f| f.down = true);
        });
        let outcome = publisher.publish(&awa(), &content("v1"), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Unknown));

        world.down(false);
        for _ in 0..2 {
            let mut again = world.publisher().await;
            let outcome = again.publish(&awa(), &content("v1"), None).await;
            assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(1))));
        }
        assert_eq!(world.page().await.end_offset, Offset(1));
    });
}

#[test]
fn publish_race_and_reply_lost() {
    // Two operators publish a successor of version 1. The first record gets the
    // lower offset, but its reply is lost. The first operator must see it
    // accepted as version 2, the second one a conflict with version 2, and the
    // daemon activates the first. Repeated with the operators swapped.
    run(async |world| {
        let daemon = world.daemon();
        let mut first = world.publisher().await;
        let outcome = first.publish(&awa(), &content("v1"), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(1))));

        for (sequence, winner_key, loser_key) in [(2, awa(), luz()), (3, luz(), awa())] {
            let (mut one, mut two) = (world.publisher().await, world.publisher().await);
            world.faults.change(|f| f.lost_replies = 1);
            let model = format!("{}-{sequence}", winner_key.operator);
            let outcome = one.publish(&winner_key, &content(&model), None).await;
            assert_eq!(
                outcome,
                Ok(PublishOutcome::Accepted(BundleSequence(sequence)))
            );

            let outcome = two.publish(&loser_key, &content("lost"), None).await;
            let winner = BundleSequence(sequence);
            let operator = winner_key.operator.clone();
            assert_eq!(outcome, Ok(PublishOutcome::Conflict { winner, operator }));
            wait_until("the accepted version is active", || {
                is_active(&daemon, &model)
            })
            .await;
        }
        assert_eq!(daemon.held.sequence(), BundleSequence(3));
    });
}

#[test]
fn publish_rollback() {
    // An operator rolls back version 2 by publishing version 3 with the content
    // of version 1, which the daemon activates.
    run(async |world| {
        let daemon = world.daemon();
        let mut publisher = world.publisher().await;
        for model in ["v1", "v2"] {
            let outcome = publisher.publish(&awa(), &content(model), None).await;
            assert!(matches!(outcome, Ok(PublishOutcome::Accepted(_))));
        }
        let old = publisher
            .version_content(BundleSequence(1))
            .await
            .expect("the log replies");
        let old = old.expect("version 1 is still in the log");
        let outcome = publisher
            .publish(&luz(), &old, Some(BundleSequence(1)))
            .await;
        assert_eq!(outcome, Ok(PublishOutcome::Accepted(BundleSequence(3))));

        wait_until("version 3 is active", || {
            daemon.held.sequence() == BundleSequence(3)
        })
        .await;
        assert!(is_active(&daemon, "v1"));
    });
}

#[test]
fn publish_log_down() {
    // The log is down before publication, so the outcome is unknown. After the
    // outage the log can be searched again.
    run(async |world| {
        let mut publisher = world.publisher().await;
        world.down(true);
        let outcome = publisher.publish(&awa(), &content("v1"), None).await;
        assert_eq!(outcome, Ok(PublishOutcome::Unknown));
        world.down(false);
        let found = world
            .log
            .find(STREAM, "none")
            .await
            .expect("the log replies");
        assert_eq!(found, None);
    });
}
