//! The operators' commands, against a log stand-in.

use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;

use base::stop::StopSignal;
use demo::daemon::Daemon;
use serde_json::{Value, json};
use standin::log::Faults;
use standin::{FaultControl, log};

/// An operator's directory, and a log to publish to.
struct Desk {
    dir: PathBuf,
    faults: FaultControl<Faults>,
    log: Daemon,
}

impl Desk {
    /// Starts a log and makes the operators' keys and settings.
    fn new(name: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let dir = dir.join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("the directory can be made");

        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("it has an address");
        let faults = FaultControl::new(Faults::default());
        let desk = Self {
            dir,
            log: start_log(listener, &faults),
            faults,
        };

        let mut trust = serde_json::Map::new();
        for operator in ["awa", "luz"] {
            let out = format!("{operator}.key");
            let (code, said) = desk.run(&["keys", "new", "--operator", operator, "--out", &out]);
            assert_eq!(code, Some(0), "{said}");
            let printed: Value = serde_json::from_str(&said).expect("JSON");
            trust.extend(printed.as_object().expect("an object").clone());
        }
        desk.write("log.json", &json!({ "log": addr, "trust": trust }));
        desk
    }

    /// Runs a command in the directory; gives its exit code and what it
    /// printed, errors included.
    fn run(&self, args: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
        let output = command.args(args).current_dir(&self.dir).output();
        let output = output.expect("the program starts");
        let said = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&said).into_owned(),
        )
    }

    fn write(&self, name: &str, value: &Value) {
        let text = serde_json::to_string_pretty(value).expect("JSON");
        fs::write(self.dir.join(name), text).expect("the file can be written");
    }

    fn read(&self, name: &str) -> Value {
        let text = fs::read_to_string(self.dir.join(name)).expect("the file is there");
        serde_json::from_str(&text).expect("JSON")
    }

    /// Writes a bundle whose workspace has the given weight, and signs it.
    fn sign(&self, operator: &str, weight: u32) {
        let (_, template) = self.run(&["bundle", "new"]);
        let mut bundle: Value = serde_json::from_str(&template).expect("JSON");
        bundle["operators"] = self.read("log.json")["trust"].clone();
        bundle["workspaces"]["mairie"]["weight"] = json!(weight);
        self.write("bundle.json", &bundle);
        let key = format!("{operator}.key");
        let args = [
            "bundle",
            "sign",
            "--key",
            &key,
            "--out",
            "signed.json",
            "bundle.json",
        ];
        let (code, said) = self.run(&args);
        assert_eq!(code, Some(0), "{said}");
    }

    fn publish(&self, operator: &str) -> (Option<i32>, String) {
        let key = format!("{operator}.key");
        self.run(&[
            "bundle",
            "publish",
            "--key",
            &key,
            "--settings",
            "log.json",
            "signed.json",
        ])
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        self.log.stop();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Starts a log on a listener that stays bound from the moment its port was
/// chosen: a port that is given back in between may be taken by another test.
fn start_log(listener: TcpListener, faults: &FaultControl<Faults>) -> Daemon {
    let faults = faults.clone();
    Daemon::start("log", move |stop: StopSignal| {
        let listener = listener.try_clone();
        let faults = faults.clone();
        async move {
            let listener = listener?;
            listener.set_nonblocking(true)?;
            log::serve(tokio::net::TcpListener::from_std(listener)?, faults, stop).await
        }
    })
}

#[test]
fn port_is_kept() {
    // Another test that asks the system for a port of its own must not get
    // the one that the operators' settings name: the operator would hear
    // "no connection" from whoever listens there, or from nobody.
    let desk = Desk::new("port");
    let settings = desk.read("log.json");
    let addr = settings["log"].as_str().expect("an address");
    assert!(TcpListener::bind(addr).is_err(), "somebody else may listen");
    assert!(std::net::TcpStream::connect(addr).is_ok());
}

#[test]
fn bundle_rollout() {
    // An operator writes a bundle, is told what is wrong with it, signs it
    // and rolls it out, twice, and back to the first version. The log is down
    // then: the operator hears that nobody knows, and with the same command
    // afterwards that it is accepted.
    let desk = Desk::new("rollout");
    let (_, template) = desk.run(&["bundle", "new"]);
    fs::write(desk.dir.join("draft.json"), template).expect("written");
    let (code, said) = desk.run(&["bundle", "check", "draft.json"]);
    assert_eq!(code, Some(2));
    assert!(said.starts_with("operators: no operator (hint: "), "{said}");

    for (weight, sequence) in [(1, 1), (2, 2)] {
        desk.sign("awa", weight);
        let expected = (Some(0), format!("accepted as {sequence}\n"));
        assert_eq!(desk.publish("awa"), expected);
    }
    let back = [
        "bundle",
        "rollback",
        "--key",
        "luz.key",
        "--settings",
        "log.json",
        "--to",
        "1",
    ];
    assert_eq!(desk.run(&back), (Some(0), "accepted as 3\n".to_owned()));
    let (code, said) = desk.run(&["bundle", "show", "--settings", "log.json"]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("\"weight\": 1"), "{said}");
    assert!(
        said.contains("version=3 offset=2 operator=luz restores=1"),
        "{said}"
    );

    desk.sign("luz", 4);
    desk.faults.change(|f| f.down = true);
    let (code, said) = desk.publish("luz");
    assert_eq!(code, Some(1));
    assert!(said.contains("unknown, look again\n"), "{said}");
    desk.faults.change(|f| f.down = false);
    assert_eq!(desk.publish("luz"), (Some(0), "accepted as 4\n".to_owned()));
    assert_eq!(desk.publish("luz"), (Some(0), "accepted as 4\n".to_owned()));
}

#[test]
fn bundle_refused() {
    // A signed bundle that was edited afterwards, one signed by a stranger
    // and a rollback to a version that never was are bad input.
    let desk = Desk::new("refused");
    desk.sign("awa", 1);
    let mut signed = desk.read("signed.json");
    signed["bundle"]["workspaces"]["mairie"]["weight"] = json!(9);
    desk.write("signed.json", &signed);
    let (code, said) = desk.publish("awa");
    assert_eq!(code, Some(2), "{said}");
    assert!(
        said.contains("differs from the one signed by awa"),
        "{said}"
    );

    let stranger = [
        "keys",
        "new",
        "--operator",
        "stranger",
        "--out",
        "stranger.key",
    ];
    assert_eq!(desk.run(&stranger).0, Some(0));
    assert_eq!(desk.run(&stranger).0, Some(2), "a key is never overwritten");
    desk.sign("stranger", 1);
    let (code, said) = desk.publish("stranger");
    assert_eq!(code, Some(2), "{said}");
    assert!(said.contains("unknown operator"), "{said}");

    let back = [
        "bundle",
        "rollback",
        "--key",
        "luz.key",
        "--settings",
        "log.json",
        "--to",
        "7",
    ];
    let (code, said) = desk.run(&back);
    assert_eq!(code, Some(2), "{said}");
    assert!(said.contains("no version 7"), "{said}");
}

#[test]
fn bundle_diff() {
    let desk = Desk::new("diff");
    desk.sign("awa", 1);
    fs::copy(desk.dir.join("bundle.json"), desk.dir.join("old.json")).expect("copied");
    desk.sign("awa", 2);
    let (code, said) = desk.run(&["bundle", "diff", "old.json", "bundle.json"]);
    assert_eq!(code, Some(0), "{said}");
    let patch: Value = serde_json::from_str(&said).expect("JSON");
    let value = json!({ "tokens": [], "classes": ["counter"], "weight": 2 });
    assert_eq!(patch, json!({ "workspaces": { "mairie": value } }));
}
