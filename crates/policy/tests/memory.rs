//! Division of a host's memory and descriptors, and who gives way when memory is short.

use std::time::{Duration, Instant};

use policy::memory::{
    ANSWER_RESERVE, BodyProgress, CONNECTION_BYTES, HostLimits, STALLED_TIME, choose_victim,
};
use rstest::rstest;

/// The body that asks has number 10 and 1,000 bytes. The others are given by number, size and
/// the time since their last bytes in milliseconds.
#[rstest]
#[case::none(&[], None)]
#[case::older(&[(1, 900, 10), (2, 5_000, 20)], None)]
#[case::newer(&[(1, 900, 10), (11, 900, 0), (12, 900, 0)], Some(12))]
#[case::larger(&[(1, 90_000, 10), (2, 90_000, 10), (12, 900, 0)], Some(2))]
#[case::stalled(&[(1, 900, 1500), (2, 90_000, 20), (12, 900, 0)], Some(1))]
#[case::longest_stalled(&[(1, 900, 1500), (2, 900, 2000), (3, 900, 1800)], Some(2))]
fn body_gives_way(#[case] others: &[(u64, usize, u64)], #[case] expected: Option<u64>) {
    let now = Instant::now() + STALLED_TIME * 10;
    let own = BodyProgress {
        number: 10,
        size: 1_000,
        active_at: now,
    };
    let others = others.iter().map(|(number, size, idle)| BodyProgress {
        number: *number,
        size: *size,
        active_at: now - Duration::from_millis(*idle),
    });
    let victim = choose_victim(now, own, others);
    assert_eq!(victim.map(|body| body.number), expected);
}

/// Guards against a division that is above what the host allows.
#[rstest]
#[case::small_host(Some(110.0), 4100)]
#[case::larger_host(Some(260.0), 4100)]
#[case::few_descriptors(Some(260.0), 64)]
#[case::unlimited_memory(None, 1024)]
fn parts_stay_within_host(#[case] memory_mb: Option<f64>, #[case] fds: usize) {
    let limits = HostLimits::new(memory_mb, fds);
    // Each connection needs one more to a backend server.
    assert!(limits.connections * 2 < fds);
    assert!(limits.connections >= 16);
    if let Some(memory_mb) = memory_mb {
        let all = (memory_mb * 1e6) as usize;
        assert!(limits.held_bytes < all);
        let taken = limits.connections * CONNECTION_BYTES + ANSWER_RESERVE;
        assert!(taken < limits.held_bytes);
    }
}
