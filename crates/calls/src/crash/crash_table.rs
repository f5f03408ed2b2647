use base::{ClockTime, TargetName, TimeSpan};

use crate::{CrashMark, CrashMessage, CrashPrint, TargetDeath};

/// Deaths that condemn a request; with one alone, whatever ran beside it would be condemned too.
const DEATH_LIMIT: usize = 2;
/// Deaths and placements remembered of one request.
const ENTRY_LIMIT: usize = 8;

/// Bounds of a crash table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLimits {
    /// Time from the last mark until a request is forgotten.
    pub expiry: TimeSpan,
    /// Marked requests remembered; beyond it the one that expires first is forgotten.
    pub entries: usize,
}

impl Default for CrashLimits {
    fn default() -> Self {
        Self {
            expiry: TimeSpan::from_secs(600),
            entries: 4_096,
        }
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Anywhere.
    Free,
    /// On a target where no other marked request runs.
    Isolated,
    /// Nowhere: `CrashSuspect`.
    Condemned {
        /// Time until it is forgotten.
        retry_after: TimeSpan,
    },
}

#[derive(Clone, Debug)]
struct CrashEntry {
    print: CrashPrint,
    expiry: ClockTime,
    /// Deaths with `true` if a completed run cleared them; a late copy must not count again.
    deaths: Vec<(TargetDeath, bool)>,
    /// Targets that run the request now, here or at a peer.
    places: Vec<TargetName>,
}

impl CrashEntry {
    fn new(print: CrashPrint) -> Self {
        Self {
            print,
            expiry: ClockTime::ZERO,
            deaths: Vec::new(),
            places: Vec::new(),
        }
    }

    fn marks(&self) -> usize {
        self.deaths.iter().filter(|(_, cleared)| !cleared).count()
    }

    fn note(&mut self, death: TargetDeath, cleared: bool) {
        if let Some((_, known)) = self.deaths.iter_mut().find(|(known, _)| *known == death) {
            *known |= cleared;
            return;
        }
        if self.deaths.len() >= ENTRY_LIMIT {
            self.deaths.remove(0);
        }
        self.deaths.push((death, cleared));
    }
}

/// Finds requests that crash the targets that run them.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{CrashLimits, CrashPrint, CrashTable, CrashVerdict, TargetDeath};
/// let now = ClockTime::ZERO;
/// let print = CrashPrint::new("quill", b"{}");
/// let mut table = CrashTable::new(CrashLimits::default());
/// for name in ["e1", "e2"] {
///     let target: base::TargetName = name.parse().unwrap();
///     table.on_placed(now, print, &target);
///     table.on_target_died(now, TargetDeath { target, incarnation: IncarnationNumber(1) });
/// }
/// assert!(matches!(table.judge(now, print), CrashVerdict::Condemned { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct CrashTable {
    limits: CrashLimits,
    /// Sorted by print.
    entries: Vec<CrashEntry>,
    /// Requests of this node on targets, sorted; a request may be there more than once.
    running: Vec<(TargetName, CrashPrint)>,
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

    /// Marked requests remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request is marked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How `print` may run.
    pub fn judge(&self, now: ClockTime, print: CrashPrint) -> CrashVerdict {
        let Some(entry) = self.entry(print).filter(|entry| entry.expiry > now) else {
            return CrashVerdict::Free;
        };
        match entry.marks() {
            0 => CrashVerdict::Free,
            marks if marks < DEATH_LIMIT => CrashVerdict::Isolated,
            _ => CrashVerdict::Condemned {
                retry_after: entry.expiry - now,
            },
        }
    }

    /// Whether `print` may run on `target` now.
    pub fn allows(&self, now: ClockTime, print: CrashPrint, target: &TargetName) -> bool {
        match self.judge(now, print) {
            CrashVerdict::Free => true,
            CrashVerdict::Condemned { .. } => false,
            CrashVerdict::Isolated => !self.entries.iter().any(|entry| {
                let marked = entry.print != print && entry.expiry > now && entry.marks() > 0;
                marked && entry.places.contains(target)
            }),
        }
    }

    /// A request of this node is sent to a target; returns what peers must know.
    pub fn on_placed(
        &mut self,
        now: ClockTime,
        print: CrashPrint,
        target: &TargetName,
    ) -> Option<CrashMessage> {
        let place = (target.clone(), print);
        let at = self.running.partition_point(|known| *known <= place);
        self.running.insert(at, place);
        if self.judge(now, print) == CrashVerdict::Free {
            return None;
        }
        self.place(print, target);
        let target = target.clone();
        Some(CrashMessage::Placed { print, target })
    }

    /// A request of this node is no more on a target, complete or not.
    pub fn on_left(&mut self, print: CrashPrint, target: &TargetName) -> Option<CrashMessage> {
        if let Ok(at) = self
            .running
            .binary_search_by(|known| (&known.0, known.1).cmp(&(target, print)))
        {
            self.running.remove(at);
        }
        let placed = self
            .entry(print)
            .is_some_and(|entry| entry.places.contains(target));
        if !placed {
            return None;
        }
        self.leave(print, target);
        let target = target.clone();
        Some(CrashMessage::Left { print, target })
    }

    /// A request completed, so that it did not cause the deaths that it is marked for.
    pub fn on_completed(&mut self, print: CrashPrint) -> Option<CrashMessage> {
        let at = self.find(print).ok()?;
        let open = self.entries[at]
            .deaths
            .iter_mut()
            .filter(|(_, done)| !*done);
        let mut deaths = Vec::new();
        for (death, cleared) in open {
            *cleared = true;
            deaths.push(death.clone());
        }
        (!deaths.is_empty()).then_some(CrashMessage::Cleared { print, deaths })
    }

    /// A target died; marks what this node had there and returns what peers must know.
    ///
    /// A cut or a silent link is no death. The shell calls this before it tells the calls, so
    /// that a repeated attempt is already judged by the mark.
    pub fn on_target_died(&mut self, now: ClockTime, death: TargetDeath) -> Vec<CrashMessage> {
        let mut prints: Vec<_> = self
            .running
            .iter()
            .filter(|(target, _)| *target == death.target)
            .map(|(_, print)| *print)
            .collect();
        prints.dedup();
        self.running.retain(|(target, _)| *target != death.target);
        for entry in &mut self.entries {
            entry.places.retain(|target| *target != death.target);
        }
        let mut messages = Vec::new();
        for print in prints {
            self.mark(now, print, death.clone(), false);
            let death = death.clone();
            messages.push(CrashMessage::Marked(CrashMark { print, death }));
        }
        messages
    }

    /// Takes what a peer tells.
    pub fn on_message(&mut self, now: ClockTime, message: CrashMessage) {
        match message {
            CrashMessage::Marked(mark) => self.mark(now, mark.print, mark.death, false),
            CrashMessage::Cleared { print, deaths } => {
                for death in deaths {
                    self.mark(now, print, death, true);
                }
            }
            CrashMessage::Placed { print, target } => self.place(print, &target),
            CrashMessage::Left { print, target } => self.leave(print, &target),
        }
    }

    /// Forgets requests whose marks are old.
    pub fn expire(&mut self, now: ClockTime) {
        self.entries.retain(|entry| entry.expiry > now);
    }

    fn mark(&mut self, now: ClockTime, print: CrashPrint, death: TargetDeath, cleared: bool) {
        let expiry = now + self.limits.expiry;
        let at = match self.find(print) {
            Ok(at) => at,
            Err(_) => {
                self.make_room(now);
                let at = self.find(print).unwrap_or_else(|at| at);
                self.entries.insert(at, CrashEntry::new(print));
                at
            }
        };
        let entry = &mut self.entries[at];
        if entry.expiry <= now {
            entry.deaths.clear();
        }
        entry.note(death, cleared);
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

    fn place(&mut self, print: CrashPrint, target: &TargetName) {
        let Ok(at) = self.find(print) else {
            return;
        };
        let places = &mut self.entries[at].places;
        if places.len() < ENTRY_LIMIT && !places.contains(target) {
            places.push(target.clone());
        }
    }

    fn leave(&mut self, print: CrashPrint, target: &TargetName) {
        if let Ok(at) = self.find(print) {
            self.entries[at].places.retain(|known| known != target);
        }
    }

    fn entry(&self, print: CrashPrint) -> Option<&CrashEntry> {
        self.find(print).ok().map(|at| &self.entries[at])
    }

    fn find(&self, print: CrashPrint) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.print.cmp(&print))
    }
}
