//! Cost of claims by batch size: bytes and microseconds per claim. Run with
//! `cargo run --release -p claims --example claim_slopes`.

use std::time::Instant;

use base::ids::{Offset, RequestId};
use bundle::Hash;
use claims::claims::key_hash;
use claims::record::{ClaimEnd, ClaimRequest, Record, TicketText};
use claims::table::ClaimTable;
use claims::{CallOutcome, Claim};

/// Number of records applied per measurement.
const RECORDS: u64 = 2_000;

/// Numbers of claims per record.
const BATCHES: [u64; 4] = [1, 12, 50, 200];

fn main() {
    for batch in BATCHES {
        measure(batch);
    }
    println!("claim_struct_bytes={}", size_of::<Claim>());
}

fn measure(batch: u64) {
    let records: Vec<String> = (0..RECORDS).map(|i| record(i, batch)).collect();
    let bytes: usize = records.iter().map(String::len).sum();
    let mut table = ClaimTable::new(600_000);
    let start = Instant::now();
    for (i, body) in (0..).zip(&records) {
        table.apply(Offset(i), i, body);
    }
    let took = start.elapsed();
    println!(
        "batch={batch} record_bytes={} bytes_per_claim={} record_us={:.1} us_per_claim={:.2} owned={}",
        bytes as u64 / RECORDS,
        bytes as u64 / RECORDS / batch,
        took.as_secs_f64() * 1e6 / RECORDS as f64,
        took.as_secs_f64() * 1e6 / (RECORDS * batch) as f64,
        table.len(),
    );
}

/// Creates a record with `batch` claims and as many ends.
fn record(i: u64, batch: u64) -> String {
    let claim = |n: u64| {
        let ticket = TicketText(RequestId(u128::from(n) << 64));
        let key = key_hash("workspace", &n.to_string());
        let body = Hash::of(&[&n.to_be_bytes()]);
        ClaimRequest { key, body, ticket }
    };
    let end = |n: u64| {
        let ClaimRequest { key, ticket, .. } = claim(n);
        let outcome = CallOutcome::Completed;
        ClaimEnd {
            key,
            ticket,
            outcome,
        }
    };
    let record = Record {
        entry: "entry-plateau-1".to_owned(),
        claims: (0..batch).map(|k| claim(i * batch + k)).collect(),
        ends: (0..batch)
            .map(|k| end(i.saturating_sub(1) * batch + k))
            .collect(),
    };
    serde_json::to_string(&record).unwrap_or_default()
}
