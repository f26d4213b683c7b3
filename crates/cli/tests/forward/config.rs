//! New versions of the operators' configuration.

use serde_json::{Value, json};

use crate::caller::{Outcome, call};
use crate::platform::{Platform, wait_until};
use crate::process::Entry;

/// Adds a route that no earlier version has.
fn add_route(config: &mut Value) {
    let route = json!({"name": "added", "hostname": "h.example", "path_prefix": "/added/",
        "route_type": "unsafe", "timeout_ms": 6000, "service": "app", "max_attempts": 1});
    config["routes"].as_array_mut().expect("routes").push(route);
}

/// Waits until calls on the added route are served.
fn wait_served(entry: &Entry) {
    let mut calls = 0;
    wait_until("the added route is served", || {
        calls += 1;
        let answer = call(entry.addr(), "/added/x", &format!("added-{calls}"));
        matches!(answer, Outcome::Complete(200, _))
    });
}

/// Guards against calls on an added route being refused for as long as the store refuses
/// reads of another table than the configuration.
#[test]
fn added_route_refused_while_servers_are_not_read() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let entry = Entry::start("config-servers", store, None);
    wait_until("ready", || entry.ready() && entry.status("servers") == 1);
    platform.refuse("keyed.servers");
    wait_until("the servers are not read", || {
        entry.log_lines("event=\"store lost\" table=servers") > 0
    });
    platform.publish_changed_config(add_route);
    wait_served(&entry);
}

/// Turns all whole numbers into the same ones with a fraction of zero.
fn add_fractions(value: &mut Value) {
    match value {
        Value::Number(number) => *value = json!(number.as_f64().expect("a number")),
        Value::Array(values) => values.iter_mut().for_each(add_fractions),
        Value::Object(fields) => fields.values_mut().for_each(add_fractions),
        _ => {}
    }
}

/// Guards against a version being ignored whose whole numbers are written as `1.0`.
#[test]
fn added_route_refused_for_its_numbers() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let entry = Entry::start("config-numbers", store, None);
    wait_until("ready", || entry.ready() && entry.status("servers") == 1);
    platform.publish_changed_config(|config| {
        add_route(config);
        add_fractions(config);
    });
    wait_served(&entry);
}
