use base::{ClockTime, TargetName, TimeSpan};

use crate::{CrashMark, CrashMessage, RequestFingerprint, TargetDeath};

/// Number of target deaths after which a request is refused. With a limit of one, every request
/// that ran on the same target as the crashing one would be refused too.
const REFUSAL_DEATHS: usize = 2;
/// Maximum number of deaths, and of targets, remembered for one request.
const ENTRY_CAPACITY: usize = 8;

/// Limits on the memory of a [`CrashTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLimits {
    /// Time from the last recorded death, or the clearing of one, until a request is forgotten.
    pub retention: TimeSpan,
    /// Maximum number of marked requests; when it is exceeded, the one that expires first is
    /// forgotten.
    pub entries: usize,
}

impl Default for CrashLimits {
    fn default() -> Self {
        Self {
            retention: TimeSpan::from_secs(600),
            entries: 4_096,
        }
    }
}

/// Where a request may run, given the target deaths it is marked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// On any target.
    Unrestricted,
    /// Only on a target where no other marked request runs.
    Isolated,
    /// On no target; the caller gets a `CrashSuspect` error.
    Refused {
        /// Time until the request is forgotten.
        retry_after: TimeSpan,
    },
}

/// Deaths and current targets of one marked request.
#[derive(Clone, Debug)]
struct CrashEntry {
    fingerprint: RequestFingerprint,
    expiry: ClockTime,
    /// Target deaths, with `true` if a completed run of the request cleared them. Cleared deaths
    /// are kept so that a message about them that arrives late does not mark the request again.
    deaths: Vec<(TargetDeath, bool)>,
    /// Targets that run the request now, for this node or a peer.
    targets: Vec<TargetName>,
}

impl CrashEntry {
    fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            expiry: ClockTime::ZERO,
            deaths: Vec::new(),
            targets: Vec::new(),
        }
    }

    fn uncleared_deaths(&self) -> usize {
        self.deaths.iter().filter(|(_, cleared)| !cleared).count()
    }

    fn record_death(&mut self, death: TargetDeath, cleared: bool) {
        if let Some((_, known)) = self.deaths.iter_mut().find(|(known, _)| *known == death) {
            *known |= cleared;
            return;
        }
        if self.deaths.len() >= ENTRY_CAPACITY {
            self.deaths.remove(0);
        }
        self.deaths.push((death, cleared));
    }
}

/// Detects requests that crash their targets: it records which requests were running on a target
/// when it died, isolates a request after one death and refuses it after two.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{CrashLimits, CrashTable, CrashVerdict, RequestFingerprint, TargetDeath};
/// let now = ClockTime::ZERO;
/// let fingerprint = RequestFingerprint::new("quill", b"{}");
/// let mut table = CrashTable::new(CrashLimits::default());
/// for name in ["e1", "e2"] {
///     let target: base::TargetName = name.parse().unwrap();
///     table.on_placed(now, fingerprint, &target);
///     table.on_target_died(now, TargetDeath { target, incarnation: IncarnationNumber(1) });
/// }
/// assert!(matches!(table.verdict(now, fingerprint), CrashVerdict::Refused { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct CrashTable {
    limits: CrashLimits,
    /// Sorted by fingerprint.
    entries: Vec<CrashEntry>,
    /// Requests of this node that are running on targets, sorted; a request may occur more than
    /// once.
    running: Vec<(TargetName, RequestFingerprint)>,
}

impl CrashTable {
    /// Creates an empty table.
    pub fn new(limits: CrashLimits) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Number of marked requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there are no marked requests.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Where the request with this fingerprint may run.
    pub fn verdict(&self, now: ClockTime, fingerprint: RequestFingerprint) -> CrashVerdict {
        let Some(entry) = self.entry(fingerprint).filter(|entry| entry.expiry > now) else {
            return CrashVerdict::Unrestricted;
        };
        match entry.uncleared_deaths() {
            0 => CrashVerdict::Unrestricted,
            deaths if deaths < REFUSAL_DEATHS => CrashVerdict::Isolated,
            _ => CrashVerdict::Refused {
                retry_after: entry.expiry - now,
            },
        }
    }

    /// Tells whether the request with this fingerprint may run on `target` now.
    pub fn allows(
        &self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        target: &TargetName,
    ) -> bool {
        match self.verdict(now, fingerprint) {
            CrashVerdict::Unrestricted => true,
            CrashVerdict::Refused { .. } => false,
            CrashVerdict::Isolated => !self.entries.iter().any(|entry| {
                let marked = entry.fingerprint != fingerprint
                    && entry.expiry > now
                    && entry.uncleared_deaths() > 0;
                marked && entry.targets.contains(target)
            }),
        }
    }

    /// Records that a request of this node is sent to a target; returns the message for peers.
    pub fn on_placed(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        target: &TargetName,
    ) -> Option<CrashMessage> {
        let placement = (target.clone(), fingerprint);
        let at = self.running.partition_point(|known| *known <= placement);
        self.running.insert(at, placement);
        if self.verdict(now, fingerprint) == CrashVerdict::Unrestricted {
            return None;
        }
        self.add_target(fingerprint, target);
        let target = target.clone();
        Some(CrashMessage::Placed {
            fingerprint,
            target,
        })
    }

    /// Records that a request of this node no longer runs on a target, whether it completed or not;
    /// returns the message for peers.
    pub fn on_left(
        &mut self,
        fingerprint: RequestFingerprint,
        target: &TargetName,
    ) -> Option<CrashMessage> {
        if let Ok(at) = self
            .running
            .binary_search_by(|known| (&known.0, known.1).cmp(&(target, fingerprint)))
        {
            self.running.remove(at);
        }
        let placed = self
            .entry(fingerprint)
            .is_some_and(|entry| entry.targets.contains(target));
        if !placed {
            return None;
        }
        self.remove_target(fingerprint, target);
        let target = target.clone();
        Some(CrashMessage::Left {
            fingerprint,
            target,
        })
    }

    /// Clears the deaths that a completed request is marked for, since it did not cause them;
    /// returns the message for peers.
    pub fn on_completed(&mut self, fingerprint: RequestFingerprint) -> Option<CrashMessage> {
        let at = self.find(fingerprint).ok()?;
        let open = self.entries[at]
            .deaths
            .iter_mut()
            .filter(|(_, cleared)| !*cleared);
        let mut deaths = Vec::new();
        for (death, cleared) in open {
            *cleared = true;
            deaths.push(death.clone());
        }
        (!deaths.is_empty()).then_some(CrashMessage::Cleared {
            fingerprint,
            deaths,
        })
    }

    /// Marks the requests that this node was running on a target that died; returns the messages
    /// for peers.
    ///
    /// A lost or silent connection does not count as a death. The I/O code calls this before it
    /// reports the death to the calls, so that their retries already take the mark into account.
    pub fn on_target_died(&mut self, now: ClockTime, death: TargetDeath) -> Vec<CrashMessage> {
        let mut fingerprints: Vec<_> = self
            .running
            .iter()
            .filter(|(target, _)| *target == death.target)
            .map(|(_, fingerprint)| *fingerprint)
            .collect();
        fingerprints.dedup();
        self.running.retain(|(target, _)| *target != death.target);
        for entry in &mut self.entries {
            entry.targets.retain(|target| *target != death.target);
        }
        let mut messages = Vec::new();
        for fingerprint in fingerprints {
            self.mark(now, fingerprint, death.clone(), false);
            let death = death.clone();
            messages.push(CrashMessage::Marked(CrashMark { fingerprint, death }));
        }
        messages
    }

    /// Applies a message from a peer.
    pub fn on_message(&mut self, now: ClockTime, message: CrashMessage) {
        match message {
            CrashMessage::Marked(mark) => self.mark(now, mark.fingerprint, mark.death, false),
            CrashMessage::Cleared {
                fingerprint,
                deaths,
            } => {
                for death in deaths {
                    self.mark(now, fingerprint, death, true);
                }
            }
            CrashMessage::Placed {
                fingerprint,
                target,
            } => self.add_target(fingerprint, &target),
            CrashMessage::Left {
                fingerprint,
                target,
            } => self.remove_target(fingerprint, &target),
        }
    }

    /// Forgets requests whose retention period has passed.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries.retain(|entry| entry.expiry > now);
    }

    fn mark(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        death: TargetDeath,
        cleared: bool,
    ) {
        let expiry = now + self.limits.retention;
        let at = match self.find(fingerprint) {
            Ok(at) => at,
            Err(_) => {
                self.make_room(now);
                let at = self.find(fingerprint).unwrap_or_else(|at| at);
                self.entries.insert(at, CrashEntry::new(fingerprint));
                at
            }
        };
        let entry = &mut self.entries[at];
        if entry.expiry <= now {
            entry.deaths.clear();
        }
        entry.record_death(death, cleared);
        entry.expiry = expiry;
    }

    fn make_room(&mut self, now: ClockTime) {
        if self.entries.len() < self.limits.entries {
            return;
        }
        self.expire(now);
        if self.entries.len() < self.limits.entries {
            return;
        }
        let oldest = (0..self.entries.len()).min_by_key(|at| self.entries[*at].expiry);
        if let Some(oldest) = oldest {
            self.entries.remove(oldest);
        }
    }

    fn add_target(&mut self, fingerprint: RequestFingerprint, target: &TargetName) {
        let Ok(at) = self.find(fingerprint) else {
            return;
        };
        let targets = &mut self.entries[at].targets;
        if targets.len() < ENTRY_CAPACITY && !targets.contains(target) {
            targets.push(target.clone());
        }
    }

    fn remove_target(&mut self, fingerprint: RequestFingerprint, target: &TargetName) {
        if let Ok(at) = self.find(fingerprint) {
            self.entries[at].targets.retain(|known| known != target);
        }
    }

    fn entry(&self, fingerprint: RequestFingerprint) -> Option<&CrashEntry> {
        self.find(fingerprint).ok().map(|at| &self.entries[at])
    }

    fn find(&self, fingerprint: RequestFingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.fingerprint.cmp(&fingerprint))
    }
}
