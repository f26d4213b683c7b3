//! Tests of the `keys` and `bundle` commands against a simulated log.

use std::fs;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;

use base::stop::StopSignal;
use demo::daemon::Daemon;
use serde_json::{Value, json};
use standin::log::Faults;
use standin::{FaultControl, log};

/// A working directory with operators' keys and settings, and a log to publish
/// to.
struct OperatorDir {
    dir: PathBuf,
    faults: FaultControl<Faults>,
    log: Daemon,
}

impl OperatorDir {
    /// Starts a log and generates the operators' keys and settings.
    fn new(name: &str) -> Self {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let dir = dir.join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("cannot create the directory");

        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
        let addr = listener.local_addr().expect("listener has no address");
        let faults = FaultControl::new(Faults::default());
        let workdir = Self {
            dir,
            log: start_log(listener, &faults),
            faults,
        };

        let mut trust = serde_json::Map::new();
        for operator in ["awa", "luz"] {
            let out = format!("{operator}.key");
            let (code, output) =
                workdir.run(&["keys", "new", "--operator", operator, "--out", &out]);
            assert_eq!(code, Some(0), "{output}");
            let printed: Value = serde_json::from_str(&output).expect("invalid JSON");
            trust.extend(printed.as_object().expect("not a JSON object").clone());
        }
        workdir.write("log.json", &json!({ "log": addr, "trust": trust }));
        workdir
    }

    /// Runs a command in the directory; returns its exit code, and its stdout
    /// and stderr together.
    fn run(&self, args: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
        let output = command.args(args).current_dir(&self.dir).output();
        let output = output.expect("cannot start the program");
        let printed = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&printed).into_owned(),
        )
    }

    fn write(&self, name: &str, value: &Value) {
        let text = serde_json::to_string_pretty(value).expect("invalid JSON");
        fs::write(self.dir.join(name), text).expect("cannot write the file");
    }

    fn read(&self, name: &str) -> Value {
        let text = fs::read_to_string(self.dir.join(name)).expect("cannot read the file");
        serde_json::from_str(&text).expect("invalid JSON")
    }

    /// Writes and signs a bundle whose workspace has the given weight.
    fn sign(&self, operator: &str, weight: u32) {
        let (_, template) = self.run(&["bundle", "new"]);
        let mut bundle: Value = serde_json::from_str(&template).expect("invalid JSON");
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
        let (code, output) = self.run(&args);
        assert_eq!(code, Some(0), "{output}");
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

impl Drop for OperatorDir {
    fn drop(&mut self) {
        self.log.stop();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Starts a log on a listener that is already bound. If the port were released
/// and bound again, another test could take it in between.
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
fn log_port_stays_bound() {
    // Guards against another test binding the port that the operators'
    // settings name: publishing would then fail to connect to the log.
    let workdir = OperatorDir::new("port");
    let settings = workdir.read("log.json");
    let addr = settings["log"]
        .as_str()
        .expect("the log address is not a string");
    assert!(
        TcpListener::bind(addr).is_err(),
        "another listener could bind the port"
    );
    assert!(std::net::TcpStream::connect(addr).is_ok());
}

#[test]
fn bundle_rollout() {
    // Covers the whole rollout: check, sign, publish two versions and roll back
    // to the first. Publishing while the log is down must report an unknown
    // outcome, and repeating the same command afterwards must be accepted once.
    let workdir = OperatorDir::new("rollout");
    let (_, template) = workdir.run(&["bundle", "new"]);
    fs::write(workdir.dir.join("draft.json"), template).expect("cannot write the draft");
    let (code, output) = workdir.run(&["bundle", "check", "draft.json"]);
    assert_eq!(code, Some(2));
    assert!(
        output.starts_with("operators: no operator (hint: "),
        "{output}"
    );

    for (weight, sequence) in [(1, 1), (2, 2)] {
        workdir.sign("awa", weight);
        let expected = (Some(0), format!("accepted as {sequence}\n"));
        assert_eq!(workdir.publish("awa"), expected);
    }
    let rollback = [
        "bundle",
        "rollback",
        "--key",
        "luz.key",
        "--settings",
        "log.json",
        "--to",
        "1",
    ];
    assert_eq!(
        workdir.run(&rollback),
        (Some(0), "accepted as 3\n".to_owned())
    );
    let (code, output) = workdir.run(&["bundle", "show", "--settings", "log.json"]);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("\"weight\": 1"), "{output}");
    assert!(
        output.contains("version=3 offset=2 operator=luz restores=1"),
        "{output}"
    );

    workdir.sign("luz", 4);
    workdir.faults.change(|f| f.down = true);
    let (code, output) = workdir.publish("luz");
    assert_eq!(code, Some(1));
    assert!(output.contains("unknown, look again\n"), "{output}");
    workdir.faults.change(|f| f.down = false);
    assert_eq!(
        workdir.publish("luz"),
        (Some(0), "accepted as 4\n".to_owned())
    );
    assert_eq!(
        workdir.publish("luz"),
        (Some(0), "accepted as 4\n".to_owned())
    );
}

#[test]
fn invalid_bundle_is_refused() {
    // Guards against accepting a bundle that was edited after signing, one
    // signed by an unknown operator, or a rollback to a missing version: all
    // three must exit with code 2.
    let workdir = OperatorDir::new("refused");
    workdir.sign("awa", 1);
    let mut signed = workdir.read("signed.json");
    signed["bundle"]["workspaces"]["mairie"]["weight"] = json!(9);
    workdir.write("signed.json", &signed);
    let (code, output) = workdir.publish("awa");
    assert_eq!(code, Some(2), "{output}");
    assert!(
        output.contains("differs from the one signed by awa"),
        "{output}"
    );

    let stranger = [
        "keys",
        "new",
        "--operator",
        "stranger",
        "--out",
        "stranger.key",
    ];
    assert_eq!(workdir.run(&stranger).0, Some(0));
    assert_eq!(
        workdir.run(&stranger).0,
        Some(2),
        "a key is never overwritten"
    );
    workdir.sign("stranger", 1);
    let (code, output) = workdir.publish("stranger");
    assert_eq!(code, Some(2), "{output}");
    assert!(output.contains("unknown operator"), "{output}");

    let rollback = [
        "bundle",
        "rollback",
        "--key",
        "luz.key",
        "--settings",
        "log.json",
        "--to",
        "7",
    ];
    let (code, output) = workdir.run(&rollback);
    assert_eq!(code, Some(2), "{output}");
    assert!(output.contains("no version 7"), "{output}");
}

#[test]
fn bundle_diff() {
    let workdir = OperatorDir::new("diff");
    workdir.sign("awa", 1);
    fs::copy(
        workdir.dir.join("bundle.json"),
        workdir.dir.join("old.json"),
    )
    .expect("cannot copy the bundle");
    workdir.sign("awa", 2);
    let (code, output) = workdir.run(&["bundle", "diff", "old.json", "bundle.json"]);
    assert_eq!(code, Some(0), "{output}");
    let patch: Value = serde_json::from_str(&output).expect("invalid JSON");
    let value = json!({ "tokens": [], "classes": ["counter"], "weight": 2 });
    assert_eq!(patch, json!({ "workspaces": { "mairie": value } }));
}
