//! Bad input on the command line: one line with the place, what was found and
//! a hint, and exit code 2.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;

/// Numbers the files of this process.
static FILES: AtomicU32 = AtomicU32::new(0);

/// Runs the program and returns its exit code and what it said.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
    let output = command.args(args).output().expect("the program starts");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = path.join(format!("{name}-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path.to_str().expect("the path is text").to_owned()
}

#[rstest]
#[case::unknown_key(
    r#"{ "name": "s", "zone": "z", "listen": "127.0.0.1:1", "lissten": 1 }"#,
    "lissten"
)]
#[case::bad_duration(
    r#"{ "name": "s", "zone": "z", "listen": "127.0.0.1:1", "hold": "5 parsecs",
         "backend": { "engine": { "addr": "127.0.0.1:1", "slots": 1 } } }"#,
    "key=hold: bad duration \"5 parsecs\""
)]
#[case::bad_address(
    r#"{ "name": "s", "zone": "z", "listen": "here" }"#,
    "key=listen: invalid socket address"
)]
#[case::no_slots(
    r#"{ "name": "s", "zone": "z", "listen": "127.0.0.1:1",
         "backend": { "engine": { "addr": "127.0.0.1:1", "slots": 0 } } }"#,
    "key=backend.slots: found 0"
)]
#[case::not_json("{", "EOF while parsing")]
#[case::two_values("{} {}", "key=.: ")]
fn settings_fault(#[case] text: &str, #[case] said: &str) {
    let (code, stderr) = run(&["sidecar", "--settings", &file("fault", text)]);
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains(said), "{stderr}");
    assert!(stderr.contains("hint: "), "{stderr}");
    assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
}

#[rstest]
#[case::missing_file(&["entry", "--settings", "nowhere.json", "--bundle", "nowhere.json"], "file=nowhere.json")]
#[case::missing_argument(&["entry"], "--settings")]
#[case::unknown_command(&["entree"], "entree")]
#[case::unknown_fleet(&["demo", "--fleet", "nobody"], "expected teranga or tallerazul")]
#[case::no_daemon(&["status", "--at", "127.0.0.1:1"], "peer=127.0.0.1:1")]
fn arguments_fault(#[case] args: &[&str], #[case] said: &str) {
    let (code, stderr) = run(args);
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains(said), "{stderr}");
}

#[test]
fn listen_taken() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = taken.local_addr().expect("it has an address");
    let text = format!(
        r#"{{ "name": "s", "zone": "z", "listen": "{addr}",
             "backend": {{ "engine": {{ "addr": "127.0.0.1:1", "slots": 1 }} }} }}"#
    );
    let (code, stderr) = run(&["sidecar", "--settings", &file("taken", &text)]);
    assert_eq!(code, Some(2), "{stderr}");
    let said = format!("key=listen: found {addr}");
    assert!(
        stderr.contains(&said) && stderr.contains("hint: "),
        "{stderr}"
    );
}

#[rstest]
#[case::all(&["--help"], "Available commands")]
#[case::demo(&["demo", "--help"], "--fleet")]
fn help_code(#[case] args: &[&str], #[case] said: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
    let output = command.args(args).output().expect("the program starts");
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains(said));
}
