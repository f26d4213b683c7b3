//! The metrics recorder of one daemon and its Prometheus text output.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};
use std::sync::{Arc, Mutex, PoisonError};

use metrics::atomics::AtomicU64;
use metrics::{Counter, Gauge, HistogramFn, Key, KeyName, Metadata, SharedString, Unit};
use metrics_util::registry::{Registry, Storage};
use metrics_util::storage::Histogram as Buckets;
use std::sync::atomic::Ordering;

/// Upper bounds of the latency histogram buckets, in seconds. They roughly
/// double and span from the cost of a routing decision to the longest streams.
const HISTOGRAM_BOUNDS: [f64; 14] = [
    0.000_1, 0.000_5, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 15.0,
];

/// The metrics of one daemon. It has no clock: the recorders of existing
/// exporters spin for up to 0.2 s at startup to calibrate the processor's
/// clock, which is most of a daemon's startup time on a small host.
#[derive(Clone)]
pub(super) struct Recorder(Arc<Registry<Key, MetricStorage>>);

/// Chooses the storage for each kind of metric.
struct MetricStorage;

/// A histogram that several handles share.
struct SharedHistogram(Mutex<Buckets>);

impl HistogramFn for SharedHistogram {
    fn record(&self, value: f64) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(value);
    }
}

impl Storage<Key> for MetricStorage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<SharedHistogram>;

    fn counter(&self, _: &Key) -> Self::Counter {
        Arc::new(AtomicU64::new(0))
    }

    fn gauge(&self, _: &Key) -> Self::Gauge {
        Arc::new(AtomicU64::new(0))
    }

    fn histogram(&self, _: &Key) -> Self::Histogram {
        let buckets = Buckets::new(&HISTOGRAM_BOUNDS).expect("the list of bounds is not empty");
        Arc::new(SharedHistogram(Mutex::new(buckets)))
    }
}

impl metrics::Recorder for Recorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.0
            .get_or_create_counter(key, |c| Counter::from_arc(Arc::clone(c)))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.0
            .get_or_create_gauge(key, |g| Gauge::from_arc(Arc::clone(g)))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> metrics::Histogram {
        self.0
            .get_or_create_histogram(key, |h| metrics::Histogram::from_arc(Arc::clone(h)))
    }
}

impl Recorder {
    /// Creates an empty recorder.
    pub(super) fn new() -> Self {
        Self(Arc::new(Registry::new(MetricStorage)))
    }

    /// Renders all metrics in the Prometheus text format.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        for (name, keys) in group_by_name(self.0.get_counter_handles()) {
            write_type(&mut text, &name, "counter");
            for (key, value) in keys {
                let value = value.load(Ordering::Relaxed);
                write_sample(&mut text, &name, &format_labels(&key, None), value);
            }
        }
        for (name, keys) in group_by_name(self.0.get_gauge_handles()) {
            write_type(&mut text, &name, "gauge");
            for (key, value) in keys {
                let value = f64::from_bits(value.load(Ordering::Relaxed));
                write_sample(&mut text, &name, &format_labels(&key, None), value);
            }
        }
        for (name, keys) in group_by_name(self.0.get_histogram_handles()) {
            write_type(&mut text, &name, "histogram");
            for (key, samples) in keys {
                let samples = samples.0.lock().unwrap_or_else(PoisonError::into_inner);
                write_histogram(&mut text, &name, &key, &samples);
            }
        }
        text
    }
}

fn write_histogram(text: &mut String, name: &str, key: &Key, samples: &Buckets) {
    let bucket = format!("{name}_bucket");
    for (bound, count) in samples.buckets() {
        let bound = bound.to_string();
        write_sample(text, &bucket, &format_labels(key, Some(&bound)), count);
    }
    write_sample(
        text,
        &bucket,
        &format_labels(key, Some("+Inf")),
        samples.count(),
    );
    let labels = format_labels(key, None);
    write_sample(text, &format!("{name}_sum"), &labels, samples.sum());
    write_sample(text, &format!("{name}_count"), &labels, samples.count());
}

/// Groups metrics by name and sorts each group by labels.
fn group_by_name<V>(
    handles: impl IntoIterator<Item = (Key, V)>,
) -> BTreeMap<String, Vec<(Key, V)>> {
    let mut names: BTreeMap<String, Vec<(Key, V)>> = BTreeMap::new();
    for (key, value) in handles {
        let keys = names.entry(key.name().to_owned()).or_default();
        keys.push((key, value));
    }
    for keys in names.values_mut() {
        keys.sort_by_cached_key(|(key, _)| format_labels(key, None));
    }
    names
}

fn write_type(text: &mut String, name: &str, kind: &str) {
    // Writing to a `String` never fails, here and in `write_sample`.
    let _ = writeln!(text, "# TYPE {name} {kind}");
}

fn write_sample(text: &mut String, name: &str, labels: &str, value: impl Display) {
    let _ = writeln!(text, "{name}{labels} {value}");
}

/// Formats the labels of a key in braces, with the upper bound of a bucket if
/// given. Empty when there are no labels.
fn format_labels(key: &Key, bound: Option<&str>) -> String {
    let escape = |value: &str| {
        let value = value.replace('\\', "\\\\").replace('"', "\\\"");
        value.replace('\n', "\\n")
    };
    let key_labels = key
        .labels()
        .map(|label| format!("{}=\"{}\"", label.key(), escape(label.value())));
    let bound = bound.map(|bound| format!("le=\"{bound}\""));
    let labels: Vec<String> = key_labels.chain(bound).collect();
    match labels.is_empty() {
        true => String::new(),
        false => format!("{{{}}}", labels.join(",")),
    }
}
