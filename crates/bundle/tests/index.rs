//! Incremental updates of the index give the same result as indexing the whole
//! bundle.

use std::collections::{BTreeMap, BTreeSet};

use bundle::accept::ChangedEntries;
use bundle::content::Patch;
use bundle::{Content, IndexedBundle, token_hash};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Uses few distinct names and tokens, so that tokens move between workspaces
/// and entries are removed and added again.
fn patch() -> impl Strategy<Value = Patch> {
    let tokens = prop::collection::btree_set(0..4u8, 0..3);
    let workspace = prop::option::of(tokens.prop_map(|tokens| {
        let tokens: Vec<String> = tokens.iter().map(|t| token_hash(&t.to_string())).collect();
        json!({ "tokens": tokens, "classes": [] })
    }));
    let share = (1..4u8).prop_map(|n| Some(json!(f64::from(n) / 10.0)));
    (
        prop::collection::btree_map("[a-c]", workspace, 0..3),
        prop::collection::btree_map("(retries|ejected)", share, 0..2),
        prop::collection::btree_map("[a-c]", prop::option::of(Just(json!({}))), 0..2),
    )
        .prop_map(|(workspaces, shares, models)| {
            let sections = [
                ("workspaces", workspaces),
                ("shares", shares),
                ("models", models),
            ];
            let named = |(name, entries): (&str, BTreeMap<String, Option<Value>>)| {
                (name.to_owned(), entries)
            };
            sections.into_iter().map(named).collect()
        })
}

fn changed(patch: &Patch) -> ChangedEntries {
    let names = patch
        .iter()
        .flat_map(|(section, named)| named.keys().map(|name| (section.clone(), name.clone())));
    names.collect::<BTreeSet<_>>()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn update_any_patch(patches in prop::collection::vec(patch(), 1..8)) {
        let mut content = Content::default();
        let mut index = IndexedBundle::default();
        for patch in &patches {
            content.apply(patch);
            index.update(&content, &changed(patch)).expect("valid content");

            let bundle = content.to_bundle().expect("valid content");
            prop_assert_eq!(&*index, &bundle);
            for token in 0..4u8 {
                // The result for a token of two workspaces is unspecified;
                // check rejects such a bundle.
                let hash = token_hash(&token.to_string());
                let owns = |name: &&String| bundle.workspaces[*name].tokens.contains(&hash);
                let owners: Vec<&String> = bundle.workspaces.keys().filter(owns).collect();
                if let [] | [_] = owners[..] {
                    let owner = index.token_workspace(&token.to_string());
                    prop_assert_eq!(owner, owners.first().map(|o| o.as_str()));
                }
            }
        }
    }
}
