use base::{ClockTime, DomainName, TimeSpan};

use super::{EvacuationRecord, KEEP_TIME, StorePosition};

/// Largest number of failure domains that are remembered.
const DOMAIN_LIMIT: usize = 64;

/// Time after the last news for which records are told while no domain is evacuated. A node that
/// missed the end of an evacuation later tells its own record, which is news again.
const NEWS_TIME: TimeSpan = TimeSpan::from_secs(60);

/// A failure domain became evacuated, or its evacuation was taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: DomainName,
    /// Position of the store as of which this is known.
    pub position: StorePosition,
    /// Whether the domain is evacuated now.
    pub is_evacuated: bool,
}

/// A new era of the store, whose first copy may be older than what is known.
#[derive(Clone, Copy, Debug)]
struct KeptRecord {
    /// Time from which the copy counts, if the key is not written again.
    until: ClockTime,
    /// Position of the first copy.
    listed: StorePosition,
}

/// Newest record of one failure domain.
#[derive(Clone, Debug)]
struct LedgerEntry {
    domain: DomainName,
    position: StorePosition,
    is_evacuated: bool,
    /// What the record is kept against; `None` if the copy of the store counts.
    kept: Option<KeptRecord>,
    /// When this node learnt of the evacuation.
    learned_at: ClockTime,
    /// Time for which the node that told it had known of it by then.
    age: TimeSpan,
}

/// Which failure domains are evacuated: the newest record of each, from the store or from peers.
///
/// Of two records of a domain the one with the newer revision holds, in whichever order they
/// arrive. Of two with the same revision, the one that says that the domain is evacuated does.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{EvacuationLedger, EvacuationRecord};
/// let now = ClockTime::new(1_000);
/// let record = |revision, is_evacuated| EvacuationRecord {
///     domain: "patan".parse().unwrap(),
///     revision,
///     era: Default::default(),
///     is_evacuated,
///     age: TimeSpan::ZERO,
/// };
/// let mut ledger = EvacuationLedger::default();
/// assert!(ledger.adopt(now, record(7, true)).is_some());
/// assert!(ledger.adopt(now, record(6, false)).is_none());
/// assert!(ledger.is_evacuated(&"patan".parse().unwrap()));
/// assert!(!ledger.adopt(now, record(8, false)).unwrap().is_evacuated);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuationLedger {
    /// Sorted by domain.
    entries: Vec<LedgerEntry>,
    /// Position up to which this node has read all records of the store itself.
    read_position: StorePosition,
    /// When a record last changed what is known, or a peer told one that is out of date.
    news_at: Option<ClockTime>,
}

impl LedgerEntry {
    /// Time since this node, or the node that told it, learnt of the evacuation.
    fn known_for(&self, now: ClockTime) -> TimeSpan {
        now.since(self.learned_at) + self.age
    }

    /// Takes the record into the era of `listed`, whose first copy may be older.
    fn keep(&mut self, now: ClockTime, listed: StorePosition) {
        // Any later record of the era counts once the copy does.
        self.position = StorePosition::new(listed.era, 0);
        self.kept = Some(KeptRecord {
            until: now + KEEP_TIME,
            listed,
        });
    }

    /// Whether a record as of a position does not count yet. A key that was written after the first copy
    /// of the era does.
    fn is_kept_against(
        &mut self,
        now: ClockTime,
        position: StorePosition,
        is_evacuated: bool,
    ) -> bool {
        let is_over = |kept: &KeptRecord| {
            let is_written = is_evacuated && position > kept.listed;
            is_written || now >= kept.until
        };
        if self.kept.as_ref().is_some_and(is_over) {
            self.kept = None;
        }
        self.kept.is_some() && self.is_evacuated != is_evacuated
    }
}

impl EvacuationLedger {
    /// Adopts a record of a peer if it is newer than what is known; returns what changes.
    pub fn adopt(&mut self, now: ClockTime, record: EvacuationRecord) -> Option<EvacuationChange> {
        if self.read_position > StorePosition::default() && self.find(&record.domain).is_err() {
            // The copy of the store has no key of this domain. Once recorded, this reaches the peer
            // with the next digest, in case its record is out of date.
            let read = EvacuationRecord {
                domain: record.domain.clone(),
                revision: self.read_position.revision,
                era: self.read_position.era,
                is_evacuated: false,
                age: TimeSpan::ZERO,
            };
            self.merge(now, read);
        }
        if self.keeps_against(now, &record) {
            return None;
        }
        self.merge(now, record)
    }

    /// Adopts what a copy of the store that is complete up to `position` says: `evacuated` are the
    /// domains that have a key, each with the revision of the key. Returns what changes.
    ///
    /// The first copy of a new era may be older than what is known, which is kept for a while unless
    /// the key is written after that.
    pub fn adopt_read(
        &mut self,
        now: ClockTime,
        position: impl Into<StorePosition>,
        evacuated: Vec<(DomainName, u64)>,
    ) -> Vec<EvacuationChange> {
        let position = position.into();
        if self.read_position.era < position.era && self.read_position > StorePosition::default() {
            self.keep_entries(now, position);
        }
        let StorePosition { era, revision } = position;
        let known = self.entries.iter().map(|entry| &entry.domain);
        let without_key = known.filter(|domain| evacuated.iter().all(|(name, _)| name != *domain));
        let absent: Vec<_> = without_key
            .map(|domain| (domain.clone(), revision))
            .collect();
        let absent = absent.into_iter().map(|(domain, at)| (domain, at, false));
        let present = evacuated.into_iter().map(|(domain, at)| (domain, at, true));
        let records = absent.chain(present);
        let changes = records.filter_map(|(domain, revision, is_evacuated)| {
            if let Ok(at) = self.find(&domain) {
                let entry = &mut self.entries[at];
                if !is_evacuated && !entry.is_evacuated {
                    // The copy agrees; a key that appears in it later was written.
                    entry.kept = None;
                }
                if entry.is_kept_against(now, StorePosition::new(era, revision), is_evacuated) {
                    return None;
                }
            }
            let record = EvacuationRecord {
                domain,
                revision,
                era,
                is_evacuated,
                age: TimeSpan::ZERO,
            };
            self.merge(now, record)
        });
        let changes = changes.collect();
        self.read_position = self.read_position.max(position);
        changes
    }

    /// Whether what is known is kept against a record of a peer: that may know no more than the copy from
    /// which the store came back.
    fn keeps_against(&mut self, now: ClockTime, record: &EvacuationRecord) -> bool {
        let position = record.position();
        let Ok(at) = self.find(&record.domain) else {
            return false;
        };
        let entry = &mut self.entries[at];
        if entry.position.era < position.era && entry.position > StorePosition::default() {
            entry.keep(now, position);
        }
        entry.is_kept_against(now, position, record.is_evacuated)
    }

    /// Keeps what is known against the first copy of an era, as of `position`.
    fn keep_entries(&mut self, now: ClockTime, position: StorePosition) {
        for entry in &mut self.entries {
            entry.keep(now, position);
        }
    }

    /// Records to tell peers: none if no domain is evacuated and there was no news for a while.
    pub fn records_to_tell(&self, now: ClockTime) -> Vec<EvacuationRecord> {
        let is_new = self.news_at.is_some_and(|at| now.since(at) < NEWS_TIME);
        match is_new || self.entries.iter().any(|entry| entry.is_evacuated) {
            true => self.records(now),
            false => Vec::new(),
        }
    }

    /// Newest record of each known domain.
    pub fn records(&self, now: ClockTime) -> Vec<EvacuationRecord> {
        let records = self.entries.iter().map(|entry| EvacuationRecord {
            domain: entry.domain.clone(),
            revision: entry.position.revision,
            era: entry.position.era,
            is_evacuated: entry.is_evacuated,
            age: match entry.is_evacuated {
                true => entry.known_for(now),
                false => TimeSpan::ZERO,
            },
        });
        records.collect()
    }

    /// Whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &DomainName) -> bool {
        let found = self.find(domain);
        found.is_ok_and(|at| self.entries[at].is_evacuated)
    }

    /// Time since this node, or the node that told it, learnt that a domain is evacuated; `None` if
    /// it is not.
    pub fn evacuated_for(&self, now: ClockTime, domain: &DomainName) -> Option<TimeSpan> {
        let entry = &self.entries[self.find(domain).ok()?];
        entry.is_evacuated.then(|| entry.known_for(now))
    }

    /// Evacuated domains with the revisions of their records, sorted by domain.
    pub fn evacuated_domains(&self) -> Vec<(DomainName, u64)> {
        let evacuated = self.entries.iter().filter(|entry| entry.is_evacuated);
        evacuated
            .map(|entry| (entry.domain.clone(), entry.position.revision))
            .collect()
    }

    /// Takes over a record if it is newer than the known one.
    fn merge(&mut self, now: ClockTime, record: EvacuationRecord) -> Option<EvacuationChange> {
        let at = match self.find(&record.domain) {
            Ok(at) => at,
            Err(_) => {
                self.make_room(record.is_evacuated)?;
                let at = self.find(&record.domain).unwrap_or_else(|at| at);
                let entry = LedgerEntry {
                    domain: record.domain.clone(),
                    position: StorePosition::default(),
                    is_evacuated: false,
                    kept: None,
                    learned_at: now,
                    age: TimeSpan::ZERO,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        let entry = &mut self.entries[at];
        let position = record.position();
        if entry.is_evacuated != record.is_evacuated {
            self.news_at = Some(now);
        }
        // The age of another revision may be that of an earlier evacuation.
        let is_same = entry.is_evacuated && record.is_evacuated && position == entry.position;
        if is_same && record.age > entry.known_for(now) {
            entry.learned_at = now;
            entry.age = record.age;
        }
        if (position, record.is_evacuated) <= (entry.position, entry.is_evacuated) {
            return None;
        }
        entry.position = position;
        // A key that is written again does not begin a new evacuation.
        if entry.is_evacuated == record.is_evacuated {
            return None;
        }
        entry.is_evacuated = record.is_evacuated;
        entry.learned_at = now;
        entry.age = record.age;
        Some(EvacuationChange {
            domain: record.domain,
            position,
            is_evacuated: record.is_evacuated,
        })
    }

    /// Makes room for one more domain, by forgetting the one whose evacuation was taken back at the
    /// oldest revision if need be; `None` if there is no room.
    fn make_room(&mut self, is_evacuated: bool) -> Option<()> {
        if self.entries.len() < DOMAIN_LIMIT {
            return Some(());
        }
        let entries = self.entries.iter().enumerate();
        let open = entries.filter(|(_, entry)| !entry.is_evacuated);
        let oldest = open.min_by_key(|(_, entry)| entry.position);
        let (at, _) = oldest.filter(|_| is_evacuated)?;
        self.entries.remove(at);
        Some(())
    }

    fn find(&self, domain: &DomainName) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.domain.cmp(domain))
    }
}
