use base::RevisionNumber;
use schema::member::DomainRecord;

/// Merges two summaries of one domain: the one with the larger (sequence, lost, revision, live)
/// wins.
///
/// The digest describes the sender's records and is not compared.
pub fn merge_domains(left: &DomainRecord, right: &DomainRecord) -> DomainRecord {
    if rank(right) > rank(left) {
        return right.clone();
    }
    left.clone()
}

fn rank(record: &DomainRecord) -> (u64, bool, RevisionNumber, u32) {
    (record.sequence, record.lost, record.revision, record.live)
}
