//! What a daemon counts, as it is scraped.

use base::telemetry;

/// Guards against text that those who scrape cannot read.
#[test]
fn text_is_complete() {
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
        assert!(text.lines().any(|l| l == line), "{line:?} is not in {text}");
    }
}

/// Guards against a daemon that burns processor time as it starts: a recorder
/// that measures the speed of a clock spins until that is known.
#[test]
fn recorder_brings_no_clock() {
    let lock = include_str!("../../../Cargo.lock");
    assert!(!lock.contains("name = \"quanta\""));
}
