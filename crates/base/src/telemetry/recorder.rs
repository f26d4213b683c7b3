//! What one daemon counts, and its text for scraping.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};
use std::sync::{Arc, Mutex, PoisonError};

use metrics::atomics::AtomicU64;
use metrics::{Counter, Gauge, HistogramFn, Key, KeyName, Metadata, SharedString, Unit};
use metrics_util::registry::{Registry, Storage};
use metrics_util::storage::Histogram as Buckets;
use std::sync::atomic::Ordering;

/// Bounds of the latency histograms in seconds, each about twice the one
/// before: from the cost of a decision to the longest streams.
const BOUNDS: [f64; 14] = [
    0.000_1, 0.000_5, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 15.0,
];

/// Counts of one daemon. It keeps no clock of its own: those of the ready-made
/// recorders spin for up to 0.2 s to measure the processor's when they start,
/// and on a thin host that is most of the time in which a daemon comes up.
#[derive(Clone)]
pub(super) struct Recorder(Arc<Registry<Key, Kept>>);

/// How each kind is kept.
struct Kept;

/// Samples by bucket.
struct Samples(Mutex<Buckets>);

impl HistogramFn for Samples {
    fn record(&self, value: f64) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(value);
    }
}

impl Storage<Key> for Kept {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<Samples>;

    fn counter(&self, _: &Key) -> Self::Counter {
        Arc::new(AtomicU64::new(0))
    }

    fn gauge(&self, _: &Key) -> Self::Gauge {
        Arc::new(AtomicU64::new(0))
    }

    fn histogram(&self, _: &Key) -> Self::Histogram {
        let buckets = Buckets::new(&BOUNDS).expect("there are bounds");
        Arc::new(Samples(Mutex::new(buckets)))
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
    /// Makes a recorder that has counted nothing.
    pub(super) fn new() -> Self {
        Self(Arc::new(Registry::new(Kept)))
    }

    /// What was counted, in the text format for scraping.
    pub(super) fn render(&self) -> String {
        let mut text = String::new();
        for (name, keys) in by_name(self.0.get_counter_handles()) {
            start(&mut text, &name, "counter");
            for (key, value) in keys {
                let value = value.load(Ordering::Relaxed);
                line(&mut text, &name, &labels(&key, None), value);
            }
        }
        for (name, keys) in by_name(self.0.get_gauge_handles()) {
            start(&mut text, &name, "gauge");
            for (key, value) in keys {
                let value = f64::from_bits(value.load(Ordering::Relaxed));
                line(&mut text, &name, &labels(&key, None), value);
            }
        }
        for (name, keys) in by_name(self.0.get_histogram_handles()) {
            start(&mut text, &name, "histogram");
            for (key, samples) in keys {
                let samples = samples.0.lock().unwrap_or_else(PoisonError::into_inner);
                histogram(&mut text, &name, &key, &samples);
            }
        }
        text
    }
}

fn histogram(text: &mut String, name: &str, key: &Key, samples: &Buckets) {
    let bucket = format!("{name}_bucket");
    for (bound, count) in samples.buckets() {
        let bound = bound.to_string();
        line(text, &bucket, &labels(key, Some(&bound)), count);
    }
    line(text, &bucket, &labels(key, Some("+Inf")), samples.count());
    let labels = labels(key, None);
    line(text, &format!("{name}_sum"), &labels, samples.sum());
    line(text, &format!("{name}_count"), &labels, samples.count());
}

/// Keys with what they hold, by name and in the order of their labels.
fn by_name<V>(handles: impl IntoIterator<Item = (Key, V)>) -> BTreeMap<String, Vec<(Key, V)>> {
    let mut names: BTreeMap<String, Vec<(Key, V)>> = BTreeMap::new();
    for (key, value) in handles {
        let keys = names.entry(key.name().to_owned()).or_default();
        keys.push((key, value));
    }
    for keys in names.values_mut() {
        keys.sort_by_cached_key(|(key, _)| labels(key, None));
    }
    names
}

fn start(text: &mut String, name: &str, kind: &str) {
    // Writing to a string does not fail, here and below.
    let _ = writeln!(text, "# TYPE {name} {kind}");
}

fn line(text: &mut String, name: &str, labels: &str, value: impl Display) {
    let _ = writeln!(text, "{name}{labels} {value}");
}

/// A key's labels in braces, with the upper bound of a bucket if there is one;
/// nothing without any.
fn labels(key: &Key, bound: Option<&str>) -> String {
    let escape = |value: &str| {
        let value = value.replace('\\', "\\\\").replace('"', "\\\"");
        value.replace('\n', "\\n")
    };
    let own = key
        .labels()
        .map(|label| format!("{}=\"{}\"", label.key(), escape(label.value())));
    let bound = bound.map(|bound| format!("le=\"{bound}\""));
    let labels: Vec<String> = own.chain(bound).collect();
    match labels.is_empty() {
        true => String::new(),
        false => format!("{{{}}}", labels.join(",")),
    }
}
