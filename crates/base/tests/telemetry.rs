//! The Prometheus text output of a daemon's metrics.

use base::telemetry;

/// Guards against output that a Prometheus scraper cannot parse.
#[test]
fn text_has_all_metrics() {
    let text = telemetry::with_recorder(|| {
        metrics::counter!("calls_total", "status" => "a\"b\\c\nd").increment(2);
        metrics::gauge!("open").set(1.5);
        metrics::histogram!("seconds", "kind" => "whole").record(0.03);
        metrics::histogram!("seconds", "kind" => "whole").record(99.0);
        telemetry::render()
    });
    for line in [
        "# TYPE calls_total counter",
        r#"calls_total{status="a\"b\\c\nd"} 2"#,
        "# TYPE open gauge",
        "open 1.5",
        "# TYPE seconds histogram",
        r#"seconds_bucket{kind="whole",le="0.025"} 0"#,
        r#"seconds_bucket{kind="whole",le="0.05"} 1"#,
        r#"seconds_bucket{kind="whole",le="+Inf"} 2"#,
        r#"seconds_sum{kind="whole"} 99.03"#,
        r#"seconds_count{kind="whole"} 2"#,
    ] {
        assert!(
            text.lines().any(|l| l == line),
            "{line:?} is missing in {text}"
        );
    }
}

/// Guards against a daemon that spins at startup: a recorder that depends on
/// `quanta` calibrates the processor's clock in a busy loop.
#[test]
fn recorder_does_not_depend_on_quanta() {
    let lock = include_str!("../../../Cargo.lock");
    assert!(!lock.contains("name = \"quanta\""));
}
