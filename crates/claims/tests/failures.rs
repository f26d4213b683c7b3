//! Claims during failures of the log, its replies, entries and callers.

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

/// Maximum number of checks of a condition, and the pause between them.
const TRIES: u32 = 1000;
const PAUSE: Duration = Duration::from_millis(5);

/// A running stand-in for the log.
struct TestLog {
    addr: SocketAddr,
    faults: FaultControl<Faults>,
}

fn run(test: impl AsyncFnOnce(TestLog)) {
    logging::init(Level::Off);
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("bind to a free port");
        let addr = listener.local_addr().expect("local address");
        let faults = FaultControl::new(Faults::default());
        actix_rt::spawn(standin::log::serve(
            listener,
            faults.clone(),
            StopSignal::new(),
        ));
        test(TestLog { addr, faults }).await;
    });
}

impl TestLog {
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
        let page = read.await.expect("the log replies");
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

/// Retries until the key is claimed. The limit of 5 s allows for slow machines.
async fn claim_with_retry(entry: &Claims, key: &str) -> Claim {
    for _ in 0..TRIES {
        if let Ok(claim) = claim(entry, key).await {
            return claim;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("key {key} was not released in time");
}

#[test]
fn claim_race() {
    // A caller that lost its connection sends the same call through two entries
    // concurrently. The first claim in the log owns the key at both entries;
    // the other call is denied. Repeated 20 times.
    run(async |log| {
        let one = log.entry("one", HumanDuration::secs(60));
        let two = log.entry("two", HumanDuration::secs(60));
        for i in 0..20 {
            let key = format!("letter-{i}");
            let (a, b) = tokio::join!(claim(&one, &key), claim(&two, &key));
            assert_eq!(u8::from(a.is_ok()) + u8::from(b.is_ok()), 1, "one owner");
            let denied = a
                .as_ref()
                .err()
                .or(b.as_ref().err())
                .expect("one claim is denied");
            assert_eq!((denied.reason, denied.outcome), (Refusal::KeyInUse, None));
        }
    });
}

#[test]
fn claim_batch() {
    // 50 calls arrive while an append is in progress. They share the next one,
    // so that a burst does not exceed the log's append rate.
    run(async |log| {
        let entry = log.entry("one", HumanDuration::secs(60));
        let keys: Vec<String> = (0..50).map(|i| format!("letter-{i}")).collect();
        let claims = keys.iter().map(|key| claim(&entry, key));
        let claims = futures_util::future::join_all(claims).await;
        assert!(claims.iter().all(Result::is_ok));
        assert!(log.records().await.len() <= 3);
    });
}

#[test]
fn claim_reply_lost() {
    // The claim is appended but the reply is lost. The entry finds the record by
    // its id, so the claim succeeds without a second record. Repeated with a
    // second call.
    run(async |log| {
        let entry = log.entry("one", HumanDuration::secs(60));
        for key in ["a", "b"] {
            log.faults.change(|f| f.lost_replies = 1);
            assert!(claim(&entry, key).await.is_ok());
        }
        assert_eq!(log.faults.get().lost_replies, 0);
    });
}

#[test]
fn claim_reply_lost_in_outage() {
    // The claim is appended, its reply is lost and the log goes down. The owner
    // of the key is unknown, so the call is refused as not executed. After the
    // outage the entry releases the claim, and a retry at another entry gets
    // the key.
    run(async |log| {
        let one = log.entry("one", HumanDuration::secs(60));
        let two = log.entry("two", HumanDuration::secs(60));
        assert!(claim(&one, "first").await.is_ok());
        log.faults.change(|f| {
            f.lost_replies = 1;
            f.loss_delay = HumanDuration::ms(100);
        });
        let faults = log.faults.clone();
        actix_rt::spawn(async move {
            while faults.get().lost_replies > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            faults.change(|f| f.down = true);
        });
        let denied = claim(&one, "letter").await.expect_err("the log is down");
        assert_eq!(denied.reason, Refusal::LogUnavailable);
        assert!(log.faults.get().down);

        log.faults.change(|f| f.down = false);
        let _owned = claim_with_retry(&two, "letter").await;
    });
}

#[test]
fn claim_log_down() {
    // While the log is down, a call that must not be repeated is refused twice as
    // not executed. After the outage the same key can be claimed.
    run(async |log| {
        let entry = log.entry("one", HumanDuration::secs(60));
        log.faults.change(|f| f.down = true);
        for _ in 0..2 {
            let denied = claim(&entry, "letter").await.expect_err("the log is down");
            assert_eq!(denied.reason, Refusal::LogUnavailable);
        }
        log.faults.change(|f| f.down = false);
        let _owned = claim_with_retry(&entry, "letter").await;
    });
}

#[test]
fn try_start_paused() {
    // An entry is suspended between its claim and the grant for longer than the
    // claim window. The caller retries at another entry, which then owns the key
    // and runs the call. When the first entry resumes, it must not start the
    // call; before the pause it could have.
    run(async |log| {
        let clock = ManualClock::new();
        let window = HumanDuration::ms(400);
        let one = log.entry_with("one", window, Rc::new(clock.clone()));
        let claimed = claim_with_retry(&one, "letter").await;
        let early = claim_with_retry(&one, "other").await;
        assert!(early.try_start(clock.now()));

        clock.advance(window.0);
        let two = log.entry("two", window);
        let owned = claim_with_retry(&two, "letter").await;
        assert!(owned.try_start(SystemClock.now()));
        assert!(
            !claimed.try_start(clock.now()),
            "the paused entry must not start the call"
        );
        drop(claimed);

        // The release by the paused entry must not free the other's key.
        let _flush = claim_with_retry(&one, "third").await;
        assert!(claim(&two, "letter").await.is_err());
    });
}

#[test]
fn claim_entry_replaced() {
    // The entry that granted a call is replaced and loses its state. A retry at
    // the new entry is denied without an outcome, since the call may have been
    // executed.
    run(async |log| {
        let one = log.entry("one", HumanDuration::secs(60));
        let claimed = claim_with_retry(&one, "letter").await;
        assert!(claimed.try_start(SystemClock.now()));
        std::mem::forget(claimed);

        let fresh = log.entry("one", HumanDuration::secs(60));
        let denied = claim(&fresh, "letter").await.expect_err("the key is owned");
        assert_eq!((denied.reason, denied.outcome), (Refusal::KeyInUse, None));
        assert!(denied.retry_after.is_some());
    });
}

#[test]
fn claim_ended() {
    // Other entries learn that a call was completed. A call that was not
    // executed releases its key.
    run(async |log| {
        let one = log.entry("one", HumanDuration::secs(60));
        let two = log.entry("two", HumanDuration::secs(60));
        let ran = claim_with_retry(&one, "ran").await;
        assert!(ran.try_start(SystemClock.now()));
        ran.finish(CallOutcome::Completed);
        drop(claim_with_retry(&one, "not-run").await);

        let _owned = claim_with_retry(&two, "not-run").await;
        let denied = claim(&two, "ran").await.expect_err("the key is owned");
        assert_eq!(denied.outcome, Some(CallOutcome::Completed));
    });
}

#[test]
fn claim_other_body() {
    // The same key is sent with a different request body. It is refused both by
    // the entry that owns the key and by another one.
    run(async |log| {
        let one = log.entry("one", HumanDuration::secs(60));
        let two = log.entry("two", HumanDuration::secs(60));
        let _owned = claim_with_retry(&one, "letter").await;
        for entry in [&one, &two] {
            let other = entry.claim("mairie", "letter", hash("other"), RequestId::random());
            let denied = other.await.expect_err("another body");
            assert_eq!(denied.reason, Refusal::KeyReused);
        }

        // The same key in another workspace is a different key.
        let other = two.claim("beta", "letter", hash("other"), RequestId::random());
        assert!(other.await.is_ok());
    });
}
