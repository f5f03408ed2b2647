use base::RevisionNumber;
use schema::member::DomainRecord;

/// Joins two summaries of one domain: the larger (sequence, lost, revision, live) wins.
///
/// The digest is the sender's own and takes no part in the order.
pub fn merge_domains(left: &DomainRecord, right: &DomainRecord) -> DomainRecord {
    if rank(right) > rank(left) {
        return right.clone();
    }
    left.clone()
}

fn rank(record: &DomainRecord) -> (u64, bool, RevisionNumber, u32) {
    (record.sequence, record.lost, record.revision, record.live)
}
