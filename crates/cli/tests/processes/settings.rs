//! Invalid arguments and settings must give exit code 2; errors in settings
//! print one line with the key, the value found and a hint.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;

/// Number of files written by this process, to give each its own name.
static FILES: AtomicU32 = AtomicU32::new(0);

/// Runs the program; returns its exit code and stderr.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
    let output = command
        .args(args)
        .output()
        .expect("cannot start the program");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = path.join(format!("{name}-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("cannot write the file");
    path.to_str().expect("the path is not UTF-8").to_owned()
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
fn invalid_settings(#[case] text: &str, #[case] expected: &str) {
    let (code, stderr) = run(&["sidecar", "--settings", &file("fault", text)]);
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
    assert!(stderr.contains("hint: "), "{stderr}");
    assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
}

#[rstest]
#[case::missing_file(&["entry", "--settings", "nowhere.json", "--bundle", "nowhere.json"], "file=nowhere.json")]
#[case::missing_argument(&["entry"], "--settings")]
#[case::unknown_command(&["entree"], "entree")]
#[case::unknown_fleet(&["demo", "--fleet", "nobody"], "expected teranga or tallerazul")]
#[case::no_daemon(&["status", "--at", "127.0.0.1:1"], "peer=127.0.0.1:1")]
fn invalid_arguments(#[case] args: &[&str], #[case] expected: &str) {
    let (code, stderr) = run(args);
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}

#[rstest]
#[case::all(&["--help"], "Available commands")]
#[case::demo(&["demo", "--help"], "--fleet")]
fn help_exits_with_zero(#[case] args: &[&str], #[case] expected: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
    let output = command
        .args(args)
        .output()
        .expect("cannot start the program");
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
}
