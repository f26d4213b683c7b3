//! Content digests, patches and canonical JSON.

mod common;

use bundle::Content;
use bundle::content::{Entries, canonical_json};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

/// Uses few distinct names, so that patches also replace and remove entries.
fn entries() -> impl Strategy<Value = Entries> {
    let named = prop::collection::btree_map("[a-e]", 0..4u8, 0..5);
    let named = named.prop_map(|n| n.into_iter().map(|(k, v)| (k, json!({ "v": v }))).collect());
    prop::collection::btree_map("[x-z]", named, 0..3)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn apply_any_patch(from in entries(), to in entries()) {
        let (from, to) = (Content::new(&from), Content::new(&to));
        let mut changed = from.clone();
        let undo = changed.apply(&from.patch_to(&to));
        prop_assert_eq!(changed.digest(), to.digest());
        prop_assert_eq!(changed.entries(), to.entries());

        changed.apply(&undo);
        prop_assert_eq!(changed.digest(), from.digest());
    }

    #[test]
    fn digest_any_content(one in entries(), two in entries()) {
        let (one, two) = (Content::new(&one), Content::new(&two));
        prop_assert_eq!(one.digest() == two.digest(), one.entries() == two.entries());
    }
}

#[rstest]
#[case::order(json!({"b": 1, "a": {"d": 1, "c": 2}}), r#"{"a":{"c":2,"d":1},"b":1}"#)]
#[case::list(json!(["b", "a"]), r#"["b","a"]"#)]
#[case::numbers(json!({"n": 0.05, "m": 1}), r#"{"m":1,"n":0.05}"#)]
fn canonical_value(#[case] value: Value, #[case] text: &str) {
    assert_eq!(canonical_json(&value), text);
}

#[rstest]
#[case::list(json!([]))]
#[case::text_section(json!({ "classes": "none" }))]
fn from_json_not_an_object(#[case] json: Value) {
    assert!(Content::from_json(&json).is_err());
}

#[test]
fn to_bundle_invalid() {
    let unknown = json!({ "classes": {}, "workspaces": {}, "models": { "m": { "size": 1 } }, "operators": {} });
    let content = Content::from_json(&unknown).expect("valid content");
    let error = content.to_bundle().expect_err("unknown field");
    assert!(error.to_string().contains("models.m"), "{error}");
}
