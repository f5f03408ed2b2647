use base::{CallRate, ClockTime, IncarnationNumber, NodeName, TargetName};

use super::{RateBucket, RateGrant};

/// Largest number of targets whose rates a node shares among all.
const BUCKET_LIMIT: usize = 512;

/// Bucket of one run of a target.
#[derive(Clone, Debug)]
struct LedgerEntry {
    target: TargetName,
    incarnation: IncarnationNumber,
    bucket: RateBucket,
}

/// Buckets of the targets whose rates this node shares among all nodes.
#[derive(Clone, Debug, Default)]
pub struct RateLedger {
    /// Sorted by target; one run of each.
    entries: Vec<LedgerEntry>,
}

impl RateLedger {
    /// Whether it has a bucket for a run of a target.
    pub fn contains(&self, target: &TargetName, incarnation: IncarnationNumber) -> bool {
        let found = self.find(target);
        found.is_ok_and(|at| self.entries[at].incarnation == incarnation)
    }

    /// Grants permits for a run of a target from its bucket, which is created if there is none.
    /// A node gets none while the ledger is full.
    ///
    /// ```
    /// use base::{CallRate, ClockTime, IncarnationNumber};
    /// use entry::{RateGrant, RateLedger};
    /// let target: base::TargetName = "e1".parse().unwrap();
    /// let node: base::NodeName = "n1".parse().unwrap();
    /// let mut ledger = RateLedger::default();
    /// let run = IncarnationNumber(1);
    /// let mut grant = |at| ledger.grant(ClockTime::new(at), (&target, run), CallRate(2_000), 1.0, &node, 1);
    /// assert!(matches!(grant(0), RateGrant::Wait { .. }));
    /// assert_eq!(grant(4_000), RateGrant::Permits(1));
    /// ```
    pub fn grant(
        &mut self,
        now: ClockTime,
        run: (&TargetName, IncarnationNumber),
        rate: CallRate,
        share: f64,
        node: &NodeName,
        wanted: u32,
    ) -> RateGrant {
        match self.bucket_mut(now, run) {
            Some(bucket) => bucket.grant(now, rate, share, node, wanted),
            None => RateGrant::Wait {
                wait: base::TimeSpan::from_secs(1),
                waiting_nodes: 1,
            },
        }
    }

    /// Bucket of a run of a target, which is created if there is none; `None` if the ledger is full.
    pub fn bucket_mut(
        &mut self,
        now: ClockTime,
        run: (&TargetName, IncarnationNumber),
    ) -> Option<&mut RateBucket> {
        let (target, incarnation) = run;
        let at = match self.find(target) {
            Ok(at) => at,
            Err(_) if self.entries.len() >= BUCKET_LIMIT => return None,
            Err(at) => {
                let entry = LedgerEntry {
                    target: target.clone(),
                    incarnation,
                    bucket: RateBucket::new(now),
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        if entry.incarnation != incarnation {
            entry.incarnation = incarnation;
            entry.bucket = RateBucket::new(now);
        }
        Some(&mut entry.bucket)
    }

    /// Targets that have a bucket.
    pub fn targets(&self) -> Vec<TargetName> {
        self.entries
            .iter()
            .map(|entry| entry.target.clone())
            .collect()
    }

    /// Removes the bucket of a target.
    pub fn remove(&mut self, target: &TargetName) {
        if let Ok(at) = self.find(target) {
            self.entries.remove(at);
        }
    }

    fn find(&self, target: &TargetName) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.target.cmp(target))
    }
}
