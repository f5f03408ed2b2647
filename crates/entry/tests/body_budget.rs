//! Memory for bodies under load, without a network.

use base::ByteCount;
use entry::{BodyBudget, BodyLease};

/// Memory of a small gateway.
const MEMORY: ByteCount = ByteCount(88 << 20);
/// Largest buffered response.
const LARGEST: u64 = 8 << 20;
/// Bytes by which a buffer grows.
const GROWTH: u64 = 256 << 10;
/// Size of an ordinary answer of a plain service.
const SMALL: ByteCount = ByteCount(800);

/// Lets responses without end grow in turn until each is at its limit or has found no room; returns the
/// leases of those that go on, and the largest sum of all.
fn flood(budget: &BodyBudget, count: usize) -> (Vec<BodyLease>, u64) {
    let mut growing: Vec<_> = (0..count).map(|_| (budget.new_lease(), 0)).collect();
    let mut largest = 0;
    for _ in 0..LARGEST / GROWTH {
        growing.retain_mut(|(lease, bytes)| {
            *bytes += GROWTH;
            lease.try_grow_to(ByteCount(*bytes))
        });
        largest = largest.max(growing.iter().map(|(_, bytes)| bytes).sum());
    }
    (
        growing.into_iter().map(|(lease, _)| lease).collect(),
        largest,
    )
}

// Guards against a process that is killed for its memory by answers that do not end, and against small answers
// that find no room beside them.
#[test]
fn endless_responses_leave_room_for_small_ones() {
    let budget = BodyBudget::new(MEMORY);
    let (leases, largest) = flood(&budget, 48);
    assert!(largest <= MEMORY.0 * 3 / 10, "{} MiB", largest >> 20);
    // Some of them could end, if they did.
    assert!(!leases.is_empty());
    let small: Vec<_> = (0..1_000)
        .map(|_| {
            let mut lease = budget.new_lease();
            assert!(lease.try_grow_to(SMALL));
            lease
        })
        .collect();
    drop((leases, small));
    // All of it comes back.
    let mut whole = budget.new_lease();
    assert!(whole.try_grow_to(ByteCount(MEMORY.0 * 3 / 10)));
}
