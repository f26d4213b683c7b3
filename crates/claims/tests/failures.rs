//! Claims while the log, its replies, entries and callers fail.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, ManualClock, SystemClock};
use base::ids::{Offset, RequestId};
use base::logging::{self, Level};
use base::reason::Refusal;
use base::settings::HumanDuration;
use base::stop::StopSignal;
use bundle::Hash;
use claims::{CallOutcome, Claim, ClaimDenied, Claims, STREAM, Settings};
use clients::log::LogClient;
use standin::FaultControl;
use standin::log::Faults;
use tokio::net::TcpListener;

/// How often a condition is looked at, and the pause between.
const TRIES: u32 = 1000;
const PAUSE: Duration = Duration::from_millis(5);

/// A log that runs.
struct World {
    addr: SocketAddr,
    faults: FaultControl<Faults>,
}

fn run(test: impl AsyncFnOnce(World)) {
    logging::init(Level::Off);
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let faults = FaultControl::new(Faults::default());
        actix_rt::spawn(standin::log::serve(
            listener,
            faults.clone(),
            StopSignal::new(),
        ));
        test(World { addr, faults }).await;
    });
}

impl World {
    fn entry(&self, name: &str, claim_window: HumanDuration) -> Rc<Claims> {
        self.entry_with(name, claim_window, Rc::new(SystemClock))
    }

    fn entry_with(
        &self,
        name: &str,
        claim_window: HumanDuration,
        clock: Rc<dyn Clock>,
    ) -> Rc<Claims> {
        let settings = Settings {
            log: self.addr,
            entry_name: name.to_owned(),
            claim_window,
            append_interval: HumanDuration::ms(1),
        };
        Claims::start(settings, clock)
    }

    async fn records(&self) -> Vec<String> {
        let log = LogClient::new(self.addr);
        let read = log.read(STREAM, Offset(0), 1000, Duration::ZERO);
        let page = read.await.expect("the log answers");
        page.records.into_iter().map(|e| e.body).collect()
    }
}

fn hash(text: &str) -> Hash {
    Hash::of(&[text.as_bytes()])
}

async fn claim(entry: &Claims, key: &str) -> Result<Claim, ClaimDenied> {
    entry
        .claim("mairie", key, hash("letter"), RequestId::random())
        .await
}

/// Claims until the key is had, for as long as a slow machine may need.
async fn claim_until(entry: &Claims, key: &str) -> Claim {
    for _ in 0..TRIES {
        if let Ok(claim) = claim(entry, key).await {
            return claim;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("key {key} was never free");
}

#[test]
fn claim_race() {
    // A caller that lost its connection sends the same call through two
    // entries at once, many times over. Whichever claim the log put first
    // owns the key at both; the other call hears that the key is taken.
    run(async |world| {
        let one = world.entry("one", HumanDuration::secs(60));
        let two = world.entry("two", HumanDuration::secs(60));
        for i in 0..20 {
            let key = format!("letter-{i}");
            let (a, b) = tokio::join!(claim(&one, &key), claim(&two, &key));
            assert_eq!(u8::from(a.is_ok()) + u8::from(b.is_ok()), 1, "one owner");
            let denied = a.as_ref().err().or(b.as_ref().err()).expect("one loser");
            assert_eq!((denied.reason, denied.outcome), (Refusal::KeyInUse, None));
        }
    });
}

#[test]
fn claim_batch() {
    // Fifty calls come while one append is under way. They share the next
    // one, so that a burst does not exceed the log's appends a second.
    run(async |world| {
        let entry = world.entry("one", HumanDuration::secs(60));
        let keys: Vec<String> = (0..50).map(|i| format!("letter-{i}")).collect();
        let claims = keys.iter().map(|key| claim(&entry, key));
        let claims = futures_util::future::join_all(claims).await;
        assert!(claims.iter().all(Result::is_ok));
        assert!(world.records().await.len() <= 3);
    });
}

#[test]
fn claim_reply_lost() {
    // The claim is written and its reply never comes. The entry finds the
    // record by its id, so the call goes on, and the key is claimed once.
    // The same again with the next call.
    run(async |world| {
        let entry = world.entry("one", HumanDuration::secs(60));
        for key in ["a", "b"] {
            world.faults.change(|f| f.lost_replies = 1);
            assert!(claim(&entry, key).await.is_ok());
        }
        assert_eq!(world.faults.get().lost_replies, 0);
    });
}

#[test]
fn claim_reply_lost_in_outage() {
    // The claim is written, its reply is lost and the log goes down: nobody
    // can tell who owns the key, so the call is refused as not run. After the
    // outage the entry releases what it may own, and the caller's next try
    // gets the key, at another entry as well.
    run(async |world| {
        let one = world.entry("one", HumanDuration::secs(60));
        let two = world.entry("two", HumanDuration::secs(60));
        assert!(claim(&one, "first").await.is_ok());
        world.faults.change(|f| {
            f.lost_replies = 1;
            f.loss_delay = HumanDuration::ms(100);
        });
        let faults = world.faults.clone();
        actix_rt::spawn(async move {
            while faults.get().lost_replies > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            faults.change(|f| f.down = true);
        });
        let denied = claim(&one, "letter").await.expect_err("the log is down");
        assert_eq!(denied.reason, Refusal::LogUnavailable);
        assert!(world.faults.get().down);

        world.faults.change(|f| f.down = false);
        let _owned = claim_until(&two, "letter").await;
    });
}

#[test]
fn claim_log_down() {
    // The log is down: a call that must not be repeated is refused as not
    // run, twice. Once the log answers, the same key can be claimed.
    run(async |world| {
        let entry = world.entry("one", HumanDuration::secs(60));
        world.faults.change(|f| f.down = true);
        for _ in 0..2 {
            let denied = claim(&entry, "letter").await.expect_err("the log is down");
            assert_eq!(denied.reason, Refusal::LogUnavailable);
        }
        world.faults.change(|f| f.down = false);
        let _owned = claim_until(&entry, "letter").await;
    });
}

#[test]
fn begin_paused() {
    // An entry stands still between its claim and the grant for longer than
    // the window. Its caller has tried another entry meanwhile, which owns
    // the key by now and runs the call. The first entry wakes up and must not
    // begin; before the pause it could have.
    run(async |world| {
        let clock = ManualClock::new();
        let window = HumanDuration::ms(400);
        let one = world.entry_with("one", window, Rc::new(clock.clone()));
        let claimed = claim_until(&one, "letter").await;
        let early = claim_until(&one, "other").await;
        assert!(early.try_start(clock.now()));

        clock.advance(window.0);
        let two = world.entry("two", window);
        let owned = claim_until(&two, "letter").await;
        assert!(owned.try_start(SystemClock.now()));
        assert!(
            !claimed.try_start(clock.now()),
            "the paused entry must not begin"
        );
        drop(claimed);

        // What the paused entry releases is no longer its own.
        let _flush = claim_until(&one, "third").await;
        assert!(claim(&two, "letter").await.is_err());
    });
}

#[test]
fn claim_entry_replaced() {
    // The entry that granted a call is replaced, and its memory is gone. The
    // caller's second try at the new entry hears that the key is taken and
    // that nothing is known of the outcome: the call may have run.
    run(async |world| {
        let one = world.entry("one", HumanDuration::secs(60));
        let claimed = claim_until(&one, "letter").await;
        assert!(claimed.try_start(SystemClock.now()));
        std::mem::forget(claimed);

        let fresh = world.entry("one", HumanDuration::secs(60));
        let denied = claim(&fresh, "letter").await.expect_err("taken");
        assert_eq!((denied.reason, denied.outcome), (Refusal::KeyInUse, None));
        assert!(denied.retry_after.is_some());
    });
}

#[test]
fn claim_ended() {
    // A call that ran to its end is known as such at other entries; one that
    // did not run leaves its key free.
    run(async |world| {
        let one = world.entry("one", HumanDuration::secs(60));
        let two = world.entry("two", HumanDuration::secs(60));
        let ran = claim_until(&one, "ran").await;
        assert!(ran.try_start(SystemClock.now()));
        ran.finish(CallOutcome::Completed);
        drop(claim_until(&one, "not-run").await);

        let _owned = claim_until(&two, "not-run").await;
        let denied = claim(&two, "ran").await.expect_err("taken");
        assert_eq!(denied.outcome, Some(CallOutcome::Completed));
    });
}

#[test]
fn claim_other_body() {
    // The same key comes with another letter. It is refused, at the entry
    // that owns the key and at another one.
    run(async |world| {
        let one = world.entry("one", HumanDuration::secs(60));
        let two = world.entry("two", HumanDuration::secs(60));
        let _owned = claim_until(&one, "letter").await;
        for entry in [&one, &two] {
            let other = entry.claim("mairie", "letter", hash("other"), RequestId::random());
            let denied = other.await.expect_err("another body");
            assert_eq!(denied.reason, Refusal::KeyReused);
        }

        // Another workspace's key of the same name is another key.
        let other = two.claim("beta", "letter", hash("other"), RequestId::random());
        assert!(other.await.is_ok());
    });
}
