//! Each kind of validation error is found, and all errors are found in one run.

use bundle::SecretKey;
use bundle::check::check;
use rstest::rstest;
use serde_json::{Value, json};

fn valid_bundle() -> Value {
    let key = SecretKey::from_secret("awa", &[1; 32]);
    json!({
        "classes": { "counter": {
            "tier": 0,
            "targets": { "first_token": "300ms", "token_gap": "43ms", "whole": "20s" },
            "model": "dossier-8b",
        } },
        "workspaces": { "mairie": { "tokens": ["a".repeat(64)], "classes": ["counter"] } },
        "models": { "dossier-8b": {} },
        "services": { "messaging": { "class": "counter" } },
        "operators": { "awa": key.public_key },
        "shares": { "guaranteed": 0.05 },
    })
}

/// Puts `value` at a path of object keys.
fn put(json: &mut Value, path: &str, value: Value) {
    let pointer = format!("/{}", path.replace('.', "/"));
    if let Some(place) = json.pointer_mut(&pointer) {
        *place = value;
        return;
    }
    let (parent, name) = pointer.rsplit_once('/').expect("nested path");
    json.pointer_mut(parent).expect("parent exists")[name] = value;
}

#[test]
fn check_valid() {
    assert_eq!(check(&valid_bundle()), []);
}

#[rstest]
#[case::section("clases", json!({}), "clases")]
#[case::section_shape("models", json!([]), "models")]
#[case::tier("classes.counter.tier", json!(8), "classes.counter.tier")]
#[case::unit("classes.counter.targets.whole", json!("20x"), "classes.counter.targets.whole")]
#[case::zero("classes.counter.targets.token_gap", json!("0s"), "classes.counter.targets.token_gap")]
#[case::order("classes.counter.targets.whole", json!("200ms"), "classes.counter.targets.whole")]
#[case::model("classes.counter.model", json!("none"), "classes.counter.model")]
#[case::unknown_key("classes.counter.colour", json!(1), "classes.counter.colour")]
#[case::no_targets("classes.counter.targets", json!({}), "classes.counter.targets")]
#[case::workspace_class("workspaces.mairie.classes", json!(["count"]), "workspaces.mairie.classes[0]")]
#[case::weight("workspaces.mairie.weight", json!(0), "workspaces.mairie.weight")]
#[case::token("workspaces.mairie.tokens", json!(["secret"]), "workspaces.mairie.tokens[0]")]
#[case::two_owners("workspaces.other", json!({ "tokens": ["a".repeat(64)], "classes": [] }), "workspaces.other.tokens[0]")]
#[case::service_class("services.messaging.class", json!("none"), "services.messaging.class")]
#[case::service_name("services.dossier-8b", json!({ "class": "counter" }), "services.dossier-8b")]
#[case::operator("operators.awa", json!("key"), "operators.awa")]
#[case::no_operator("operators", json!({}), "operators")]
#[case::share("shares.guaranteed", json!(0.6), "shares.guaranteed")]
#[case::negative_share("shares.retries", json!(-0.1), "shares.retries")]
fn check_error(#[case] at: &str, #[case] value: Value, #[case] path: &str) {
    let mut json = valid_bundle();
    put(&mut json, at, value);
    let findings = check(&json);
    let found: Vec<&str> = findings.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(found, [path], "{findings:?}");
    assert!(
        findings
            .iter()
            .all(|f| !f.found.is_empty() && !f.hint.is_empty())
    );
}

#[test]
fn check_multiple_errors() {
    let mut json = valid_bundle();
    put(&mut json, "classes.counter.tier", json!("high"));
    put(&mut json, "workspaces.mairie.tokens", json!(["x", "y"]));
    put(&mut json, "operators.luz", json!("key"));
    put(&mut json, "shares.ejected", json!(2));
    // A reference to an unreadable class is not reported as an error.
    assert_eq!(check(&json).len(), 5);
}
