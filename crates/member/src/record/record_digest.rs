use schema::member::{DomainRecord, NodeRecord, TargetRecord};

/// Number of parts that the records of a domain are divided into by a hash of their names; only
/// parts whose digests differ are exchanged.
pub(crate) const PART_COUNT: usize = 16;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a with a final mix. A keyed hash is not needed, since only peers that hold the peer key can
/// choose the input.
fn hash_name(text: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Returns the part that the record with this name belongs to.
pub(crate) fn part_of(name: &str) -> usize {
    (hash_name(name) >> 7) as usize % PART_COUNT
}

/// Digest of a node record; zero while the run of the node is unknown, since such a record is not
/// exchanged.
pub(crate) fn digest_node(record: &NodeRecord) -> u64 {
    if record.incarnation.0 == 0 {
        return 0;
    }
    let hash = combine(hash_name(record.node.as_str()), 1);
    let hash = combine(hash, record.incarnation.0);
    combine(hash, u64::from(record.version) << 8 | record.state as u64)
}

/// Digest of a target record.
pub(crate) fn digest_target(record: &TargetRecord) -> u64 {
    let hash = combine(hash_name(record.target.as_str()), 2);
    let hash = combine(hash, record.incarnation.0);
    let flags = (record.drain as u64) << 1 | u64::from(record.dead);
    combine(hash, u64::from(record.version) << 8 | flags)
}

/// Digest of a domain that counts as lost; zero for any other domain. The sequence is left out,
/// since it rises all the time.
pub(crate) fn digest_lost_domain(record: &DomainRecord) -> u64 {
    if !record.lost {
        return 0;
    }
    combine(hash_name(record.domain.as_str()), 3)
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
