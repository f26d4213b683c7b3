//! Fair shares of an engine between workspaces.

use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};
use policy::shares::{MAX_WORKSPACES, ShareAccount, call_cost};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

use crate::common::{admit_waiting, granted, id, ms, prompt, refused, stream};
use crate::replay::{Mode, Outcome, Scenario, alone, run};

const FLOOD: Option<u64> = Some(1);
const CALM: Option<u64> = Some(2);

fn fair() -> GrantController {
    GrantController::with_shares(ShareAccount::default())
}

fn call(number: u32, workspace: Option<u64>, tokens: u32) -> GrantRequest {
    GrantRequest {
        workspace,
        ttft_limit: ms(2_000),
        ..prompt(number, tokens)
    }
}

/// Fills the engine's window, so that later calls wait.
fn fill(grants: &mut GrantController, now: Instant) {
    let filler = call(1_000, FLOOD, 10_000);
    assert!(granted(grants.request(now, filler)));
}

/// One workspace sends 12 times its usual rate to a contended engine. Without
/// shares, the calls of 23 others are refused along with its own.
#[rstest]
#[case::largest(0)]
#[case::third(2)]
fn flood_spares_calm_workspaces(#[case] flood: usize) {
    let scenario = Scenario {
        flood: (flood, 12.0),
        questions: 1.0,
        flood_questions: 1.0,
        ..Scenario::default()
    };
    let by_itself = run(&alone(&scenario), Mode::Off).calm_part(flood);
    let (without, with) = (run(&scenario, Mode::Off), run(&scenario, Mode::Sidecars));
    let calm = with.calm_part(flood);
    assert!(calm >= 0.98 * by_itself, "{calm} of {by_itself}");
    assert!(without.calm_part(flood) < 0.5 * by_itself);
    assert!(Outcome::jain(&with.parts()) > Outcome::jain(&without.parts()));
    let total = with.total / without.total;
    assert!(
        (total - 1.0).abs() < 0.01,
        "total tokens changed to {total}"
    );
    assert!(Outcome::jain(&with.fair_parts()) > 0.95);
}

/// Shares must not reorder tiers: a call of a lower rank goes first, however
/// much its workspace has received.
#[test]
fn tiers_before_shares() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    grants.request(now, call(1, CALM, 1_000));
    let urgent = GrantRequest {
        rank: 4,
        ..call(2, FLOOD, 1_000)
    };
    grants.request(now, urgent);
    grants.record_first_event(now + ms(90), id(1_000));
    assert_eq!(admit_waiting(&mut grants, now + ms(90)), [id(2), id(1)]);
}

/// A workspace with a large backlog delays calls of another one that are due
/// later.
#[test]
fn calm_workspace_overtakes_flood() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    for n in 0..10 {
        let queued = grants.request(now, call(n, FLOOD, 1_500));
        assert!(matches!(queued, GrantDecision::Queued(_)));
    }
    let calm = grants.request(now + ms(1), call(50, CALM, 3_000));
    let GrantDecision::Queued(expected) = calm else {
        panic!("not queued: {calm:?}");
    };
    let last = grants.request(now + ms(1), call(11, FLOOD, 1_500));
    let GrantDecision::Queued(flood_expected) = last else {
        panic!("not queued: {last:?}");
    };
    assert!(expected < flood_expected, "{expected:?} {flood_expected:?}");
    grants.record_first_event(now + ms(90), id(1_000));
    let order = admit_waiting(&mut grants, now + ms(90));
    let place = order.iter().position(|call| *call == id(50));
    assert_eq!(place, Some(0), "{order:?}");
}

/// A single workspace that sends more than the engine reads gets all of it.
#[test]
fn capacity_is_not_kept_back() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    let numbers = 0..8;
    for n in numbers.clone() {
        grants.request(now, call(n, FLOOD, 1_000));
    }
    grants.record_first_event(now + ms(90), id(1_000));
    let order = admit_waiting(&mut grants, now + ms(90));
    assert_eq!(order, numbers.map(id).collect::<Vec<_>>());
}

/// A call within its share goes ahead of a flood: the calls that now miss their
/// limit are refused at once, last first, and are not granted later.
#[test]
fn late_calls_of_flood_displaced() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    let mut queued = Vec::new();
    for n in 0..100 {
        if let GrantDecision::Queued(_) = grants.request(now, call(n, FLOOD, 3_000)) {
            queued.push(id(n));
        }
    }
    assert!(!queued.is_empty() && queued.len() < 100, "{queued:?}");
    assert!(grants.take_displaced().is_empty());
    for n in 0..4 {
        let calm = grants.request(now + ms(1), call(200 + n, Some(10 + u64::from(n)), 3_000));
        assert!(matches!(calm, GrantDecision::Queued(_)), "{calm:?}");
    }
    let displaced = grants.take_displaced();
    let displaced: Vec<CallId> = displaced.into_iter().map(|(id, _)| id).collect();
    assert!(!displaced.is_empty());
    let kept = queued.len() - displaced.len();
    queued.reverse();
    assert_eq!(displaced, queued[..queued.len() - kept]);
    grants.record_first_event(now + ms(90), id(1_000));
    let order = admit_waiting(&mut grants, now + ms(90));
    assert!(displaced.iter().all(|id| !order.contains(id)));
}

/// A workspace above its share is told the time after which its share has room,
/// which is longer than the wait at the engine.
#[test]
fn refusal_covers_share() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    for workspace in 10..14_u64 {
        let number = workspace as u32;
        grants.request(now, call(number, Some(workspace), 2_000));
    }
    let refusal = (100..300).find_map(|n| {
        let decision = grants.request(now, call(n, FLOOD, 3_000));
        refused(decision).then_some(decision)
    });
    let Some(GrantDecision::Refused(expected)) = refusal else {
        panic!("no call was refused");
    };
    assert!(expected > ms(2_000), "{expected:?}");
}

/// A workspace that was idle while others were served does not get ahead of
/// them by more than one that has just begun.
#[test]
fn no_credit_while_idle() {
    let mut account = ShareAccount::default();
    for _ in 0..1_000 {
        account.charge(1, 5_000, [1, 2].into_iter());
        account.charge(2, 5_000, [1, 2].into_iter());
    }
    // The third has never sent a call, the fourth was served once at the start.
    assert!(account.lead(1) <= 10_000 && account.lead(2) <= 10_000);
    assert_eq!((account.lead(3), account.lead(4)), (0, 0));
}

/// A heavy tail of workspaces or hashes chosen by a caller must not fill the
/// memory; those furthest ahead are kept.
#[test]
fn bounded_workspaces() {
    let mut account = ShareAccount::default();
    account.charge(7, 1_000_000, [9].into_iter());
    for workspace in 100..5_000 {
        account.charge(workspace, 2_000, [9].into_iter());
        assert!(account.len() <= MAX_WORKSPACES);
    }
    assert_eq!(account.lead(7), 1_000_000);
}

/// A workspace of twice the weight gets twice the service before it is as far
/// ahead.
#[test]
fn weights_divide_cost() {
    let mut account = ShareAccount::weighted([(1, 2_000)].into());
    account.charge(1, 20_000, [9].into_iter());
    account.charge(2, 10_000, [9].into_iter());
    assert_eq!(account.lead(1), account.lead(2));
}

/// A lost answer makes the entry repeat its request: the workspace must be
/// charged once.
#[test]
fn repeated_request_charged_once() {
    let (mut once, mut often, now) = (fair(), fair(), Instant::now());
    for (grants, times) in [(&mut once, 1), (&mut often, 20)] {
        fill(grants, now);
        grants.request(now, call(1, CALM, 1_000));
        for _ in 0..times {
            assert!(granted(grants.request(now, stream_of(2, FLOOD))));
            grants.request(now, call(3, FLOOD, 3_000));
        }
    }
    assert_eq!(once.share_level(FLOOD, 9), often.share_level(FLOOD, 9));
    assert_eq!(once.counts(), often.counts());
}

fn stream_of(number: u32, workspace: Option<u64>) -> GrantRequest {
    GrantRequest {
        workspace,
        output_tokens: 280,
        ..stream(number, 250)
    }
}

/// Streams never wait, but a workspace that sends many of them must not get a
/// full share of the rest as well.
#[test]
fn streams_are_charged() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    grants.request(now, call(1, CALM, 1_000));
    for n in 0..10 {
        assert!(granted(grants.request(now, stream_of(100 + n, FLOOD))));
    }
    assert!(grants.share_level(FLOOD, 5) >= 2);
    assert_eq!(grants.share_level(CALM, 5), 0);
}

/// After a period without calls nobody is put back for what it received before,
/// just as after a restart of the sidecar.
#[test]
fn idle_engine_forgets() {
    let (mut grants, now) = (fair(), Instant::now());
    fill(&mut grants, now);
    grants.request(now, call(1, CALM, 1_000));
    for n in 0..10 {
        grants.request(now, stream_of(100 + n, FLOOD));
    }
    assert!(grants.share_level(FLOOD, 5) >= 2);
    let later = now + Duration::from_secs(10);
    let filler = call(1_001, Some(3), 10_000);
    assert!(granted(grants.request(later, filler)));
    let queued = grants.request(later, call(2, CALM, 1_000));
    assert!(matches!(queued, GrantDecision::Queued(_)), "{queued:?}");
    assert_eq!(grants.share_level(FLOOD, 5), 0);
}

/// Random calls: the decisions, and the order in which calls are granted.
fn decisions(mut grants: GrantController, workspaces: u64) -> Vec<(GrantDecision, usize)> {
    let start = Instant::now();
    let mut random = Pcg64::seed_from_u64(7);
    let mut log = Vec::new();
    let mut reading = std::collections::VecDeque::new();
    for n in 0..2_000_u32 {
        let now = start + ms(u64::from(n) * 20);
        let request = GrantRequest {
            rank: random.random_range(3..7),
            ttft_limit: ms(random.random_range(300..1_500)),
            workspace: Some(random.random_range(0..1_000) % workspaces),
            ..prompt(n, random.random_range(200..4_000))
        };
        let decision = grants.request(now, request);
        if granted(decision) {
            reading.push_back(id(n));
        }
        let waiting = admit_waiting(&mut grants, now);
        log.push((decision, waiting.len()));
        reading.extend(waiting);
        if n % 2 == 0
            && let Some(first) = reading.pop_front()
        {
            grants.record_first_event(now, first);
            grants.call_ended(now + ms(5), first, Duration::ZERO);
        }
    }
    log
}

/// Off: the workspaces of calls must not change any decision.
#[test]
fn off_ignores_workspaces() {
    let one = decisions(GrantController::default(), 1);
    let many = decisions(GrantController::default(), 24);
    let differs = one.iter().zip(&many).position(|(one, many)| one != many);
    assert_eq!(differs, None);
}

/// On, but with a single workspace: nothing to share, so the same as off.
#[test]
fn single_workspace_keeps_order() {
    let off = decisions(GrantController::default(), 1);
    let on = decisions(fair(), 1);
    let differs = off.iter().zip(&on).position(|(off, on)| off != on);
    assert_eq!(differs, None);
    assert!(off.iter().any(|(d, _)| refused(*d)));
    assert!(off.iter().any(|(_, granted)| *granted > 0));
}

/// The claimed lengths come from callers; the largest must not overflow.
#[test]
fn largest_claim_is_bounded() {
    let cost = call_cost(u32::MAX, u32::MAX);
    let mut account = ShareAccount::default();
    for _ in 0..1_000 {
        account.charge(1, cost, [2].into_iter());
    }
    assert_eq!(account.lead(1), 1_000 * cost);
}

/// The sidecar restarts during a flood and entries repeat the requests of their
/// waiting calls: without any tags, the flood must not get ahead of others, and
/// nobody may be refused for what was served before the restart.
#[test]
fn restart_keeps_shares() {
    let (mut before, now) = (fair(), Instant::now());
    fill(&mut before, now);
    before.request(now, call(50, CALM, 3_000));
    for n in 0..10 {
        before.request(now, stream_of(100 + n, FLOOD));
    }
    assert!(before.share_level(FLOOD, 5) >= 2);
    drop(before);

    let mut after = fair();
    fill(&mut after, now);
    for n in 0..10 {
        let queued = after.request(now, call(n, FLOOD, 1_500));
        assert!(matches!(queued, GrantDecision::Queued(_)), "{queued:?}");
    }
    after.request(now, call(50, CALM, 3_000));
    after.record_first_event(now + ms(90), id(1_000));
    let order = admit_waiting(&mut after, now + ms(90));
    assert_eq!(order.first(), Some(&id(50)), "{order:?}");
}
