//! Cost of bundle changes by number of workspaces: microseconds and bytes per
//! change and checkpoint. Run with
//! `cargo run --release -p follow --example bundle_slopes`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use base::ids::{BundleSequence, Offset};
use bundle::record::{Header, content_operators, operators_hash};
use bundle::{
    Acceptor, Bundle, Class, Content, EnginePool, Operators, Payload, Record, SecretKey,
    SignedHeader, Targets, Workspace,
};
use follow::BundleState;

/// Number of changes per measurement.
const CHANGES: u32 = 200;

/// Numbers of workspaces, from the current size to the design target.
const SIZES: [usize; 4] = [10, 1_000, 10_000, 46_000];

fn main() {
    let key = SecretKey::from_secret("awa", &[1; 32]);
    let trust = Operators::from([(key.operator.clone(), key.public_key.clone())]);
    for size in SIZES {
        measure(size, &key, &trust);
    }
}

/// Measures one size and prints one line.
fn measure(size: usize, key: &SecretKey, trust: &Operators) {
    let mut bundle = sample(size, trust);
    let content = Content::from_bundle(&bundle);
    let mut writer = Acceptor::new(trust.clone());
    let first = change(&writer, key, &content, Payload::Full(content.entries()));
    accept(&mut writer, &first);
    let held = BundleState::new(trust.clone());
    if let Some(state) = writer.snapshot() {
        held.load_checkpoint(state);
    }

    let (mut bytes, mut judge, mut force) = (0, Duration::ZERO, Duration::ZERO);
    let mut content = content;
    for i in 0..CHANGES {
        let name = format!("workspace-{}", i as usize % size);
        let workspace = bundle.workspaces.entry(name).or_default();
        std::sync::Arc::make_mut(workspace).weight += 1;
        let patch = patch(&bundle, i as usize % size);
        content.apply(&patch);
        let record = change(&writer, key, &content, Payload::Delta(patch));
        let body = String::from_utf8(record.bytes()).unwrap_or_default();
        let at = writer.next_offset();
        bytes += body.len();

        let start = Instant::now();
        black_box(writer.apply(at, body.as_bytes()));
        judge += start.elapsed();

        let start = Instant::now();
        held.apply_and_activate(at, &body);
        force += start.elapsed();
    }

    let start = Instant::now();
    let records = writer.checkpoint_records();
    let write = start.elapsed();
    let whole: usize = records.iter().map(|r| r.bytes().len()).sum();
    let mut fresh = Acceptor::new(trust.clone());
    let at = writer.next_offset();
    let start = Instant::now();
    for (i, record) in (0..).zip(&records) {
        black_box(fresh.apply(Offset(at.0 + i), &record.bytes()));
    }
    println!(
        "workspaces={size} change_bytes={} judge_us={} judge_and_force_us={} \
         checkpoint_bytes={whole} checkpoint_records={} write_ms={} read_ms={}",
        bytes / CHANGES as usize,
        (judge / CHANGES).as_micros(),
        (force / CHANGES).as_micros(),
        records.len(),
        write.as_millis(),
        start.elapsed().as_millis(),
    );
}

fn sample(size: usize, trust: &Operators) -> Bundle {
    let mut bundle = Bundle {
        operators: trust.clone(),
        ..Bundle::default()
    };
    for i in 0..12 {
        let model = format!("model-{i}");
        let targets = Targets {
            first_token: base::settings::HumanDuration::ms(990),
            token_gap: base::settings::HumanDuration::ms(43),
            full_answer: base::settings::HumanDuration::secs(60),
        };
        let class = Class {
            tier: base::ids::Tier(i % 3),
            targets,
            model: model.clone(),
        };
        bundle.classes.insert(format!("class-{i}"), class);
        bundle.models.insert(model, EnginePool::default());
    }
    for i in 0..size {
        let tokens = [0, 1].map(|n| bundle::token_hash(&format!("token-{i}-{n}")));
        let workspace = Workspace {
            tokens: tokens.into(),
            classes: (0..4).map(|n| format!("class-{}", (i + n) % 12)).collect(),
            weight: 1,
        };
        bundle
            .workspaces
            .insert(format!("workspace-{i}"), workspace.into());
    }
    bundle
}

/// Creates the patch that sets one workspace.
fn patch(bundle: &Bundle, i: usize) -> bundle::content::Patch {
    let name = format!("workspace-{i}");
    let value = serde_json::to_value(&bundle.workspaces[&name]).ok();
    [("workspaces".to_owned(), [(name, value)].into())].into()
}

fn change(reader: &Acceptor, key: &SecretKey, to: &Content, payload: Payload) -> Record {
    let header = Header {
        sequence: BundleSequence(reader.sequence().0 + 1),
        parent: reader.head().map(|h| h.signed.id()).unwrap_or_default(),
        digest: to.digest(),
        operators: operators_hash(&content_operators(to)),
        operator: key.operator.clone(),
        restores: None,
    };
    let signed = SignedHeader::new(header, key).unwrap_or_else(|e| panic!("{e}"));
    Record::Change { signed, payload }
}

/// Activates the first version regardless of its size.
fn accept(reader: &mut Acceptor, first: &Record) {
    let Record::Change { signed, payload } = first else {
        return;
    };
    let checkpoint = bundle::Checkpoint {
        signed: signed.clone(),
        accepted_offset: Offset(0),
        processed: Offset(0),
        chain: Vec::new(),
        payload: payload.clone(),
    };
    if let Err(fault) = reader.adopt(checkpoint) {
        panic!("{}", fault.as_str());
    }
}
