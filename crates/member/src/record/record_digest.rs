use schema::member::{DomainRecord, NodeRecord, TargetRecord};

/// Parts into which the records of a domain are divided for comparison.
pub(crate) const PART_COUNT: usize = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a final mix, since only peers that hold the key can choose the input.
fn text_hash(text: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Part that a name belongs to.
pub(crate) fn part_of(name: &str) -> usize {
    (text_hash(name) >> 7) as usize % PART_COUNT
}

/// Digest of a node record; zero for a run that is not known, since it is not exchanged.
pub(crate) fn digest_node(record: &NodeRecord) -> u64 {
    if record.incarnation.0 == 0 {
        return 0;
    }
    let hash = combine(text_hash(record.node.as_str()), 1);
    let hash = combine(hash, record.incarnation.0);
    combine(hash, u64::from(record.version) << 8 | record.state as u64)
}

/// Digest of a target record.
pub(crate) fn digest_target(record: &TargetRecord) -> u64 {
    let hash = combine(text_hash(record.target.as_str()), 2);
    let hash = combine(hash, record.incarnation.0);
    let flags = (record.drain as u64) << 1 | u64::from(record.dead);
    combine(hash, u64::from(record.version) << 8 | flags)
}

/// Digest of a lost domain; zero for any other, since its sequence rises all the time.
pub(crate) fn digest_lost(record: &DomainRecord) -> u64 {
    if !record.lost {
        return 0;
    }
    combine(text_hash(record.domain.as_str()), 3)
}

fn combine(hash: u64, value: u64) -> u64 {
    mix(hash.rotate_left(23) ^ value.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Finaliser of SplitMix64 (Steele et al., 2014).
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
