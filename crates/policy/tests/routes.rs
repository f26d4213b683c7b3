//! Selection of a call's route, access by API key and traffic split.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use base::ids::Tier;
use policy::routes::{Access, CallKind, CallerLimits, Catalog, Route, Workspace};
use rstest::rstest;

fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: CallKind::Idempotent,
        call_timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_gap: None,
        event_timeout: None,
        tier: Tier(1),
        split: vec![(Rc::from("app"), 1)],
        max_attempts: 2,
        anonymous: false,
    }
}

fn catalog(keys: Option<HashMap<String, Rc<Workspace>>>) -> Catalog {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "A.example", "/x/y/"),
        route("other", "b.example", "/"),
    ];
    Catalog::new(1, routes, Vec::new(), keys, CallerLimits::default())
}

#[rstest]
#[case::longest("a.example", "/x/y/z", Some("long"))]
#[case::shorter("a.example", "/x/z", Some("short"))]
#[case::slash_is_part("a.example", "/x", None)]
#[case::name_in_capitals("A.EXAMPLE", "/x/", Some("short"))]
#[case::with_port("a.example:8080", "/x/", Some("short"))]
#[case::other_host("b.example", "/anything", Some("other"))]
#[case::no_host("c.example", "/x/", None)]
fn route_found(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let catalog = catalog(None);
    let found = catalog.route(host, path).map(|r| r.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn key_required() {
    let workspace = Rc::new(Workspace {
        name: "w".to_owned(),
        tier: Some(Tier(0)),
    });
    let keys = HashMap::from([("k".to_owned(), Rc::clone(&workspace))]);
    let catalog = catalog(Some(keys));
    let keyed = route("closed", "a.example", "/x/");
    let anonymous = Route {
        anonymous: true,
        ..keyed.clone()
    };

    let owned = Access::Workspace(workspace);
    assert_eq!(catalog.access(&keyed, Some("k")), owned);
    assert_eq!(catalog.access(&keyed, Some("K")), Access::Denied);
    assert_eq!(catalog.access(&keyed, None), Access::Denied);
    assert_eq!(catalog.access(&anonymous, None), Access::Open);
    assert_eq!(catalog.access(&anonymous, Some("stale")), Access::Open);
}

#[test]
fn no_key_without_workspaces() {
    let catalog = catalog(None);
    let keyed = route("closed", "a.example", "/x/");
    assert_eq!(catalog.access(&keyed, None), Access::Open);
}

#[rstest]
#[case::start(0.0, "a")]
#[case::below_boundary(0.899, "a")]
#[case::at_boundary(0.9, "b")]
#[case::end(0.9999, "b")]
fn split_by_weight(#[case] sample: f64, #[case] expected: &str) {
    let route = Route {
        split: vec![
            (Rc::from("a"), 90),
            (Rc::from("none"), 0),
            (Rc::from("b"), 10),
        ],
        ..route("split", "a.example", "/")
    };
    assert_eq!(route.pick_service(sample).map(|s| &**s), Some(expected));
}
