use base::{ClockTime, TimeSpan, WorkspaceName};

/// Window of the work that is charged to a workspace.
const SHARE_WINDOW: TimeSpan = TimeSpan::from_secs(3);
/// Longest delay of the calls of a workspace that used more than its share: more than the latency
/// targets of calls, so that a workspace at many times its share goes behind all others.
const LAG_LIMIT: TimeSpan = TimeSpan::from_secs(4);
/// Surplus over the mean that delays nothing, as a factor: arrivals vary by as much from one window
/// to the next.
const SURPLUS_GRACE: f64 = 1.5;
/// Calls that are added to the work of each workspace when it is compared with the mean, since a
/// single call is much where each workspace has few.
const GRACE_CALLS: f64 = 2.0;
/// Weight of the last charge in the mean work of a call.
const CHARGE_WEIGHT: f64 = 0.1;
/// Largest number of workspaces that are kept apart; the rest share one entry.
const WORKSPACE_LIMIT: usize = 512;
/// Charged work, in tokens, below which a workspace is forgotten.
const FORGET_WORK: f64 = 64.0;

/// Position of a workspace in [`WorkspaceShares`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareSlot(usize);

#[derive(Clone, Debug)]
struct WorkspaceShare {
    /// Calls without a workspace share one entry.
    name: Option<WorkspaceName>,
    /// Work that was placed, each weighted by its age, as of `charged_at`.
    work: f64,
    charged_at: ClockTime,
    /// Number of its calls that wait.
    waiting: u32,
    /// Delay of its calls in the order of the queue.
    lag: TimeSpan,
}

impl WorkspaceShare {
    fn work_at(&self, now: ClockTime) -> f64 {
        let age = now.since(self.charged_at).as_millis() as f64;
        self.work * (-age / SHARE_WINDOW.as_millis() as f64).exp()
    }
}

/// Shares of the workspaces in the capacity of one service, by the work of the calls that were
/// placed while others waited.
///
/// All workspaces have equal weights. A workspace that was given more than the mean of the others
/// whose calls wait gets a lag, by which its calls go behind those of others; it is the time in which its
/// surplus is forgotten. Work is charged when a call is placed and not when it arrives, so a large
/// call is not behind small ones; it only delays later calls of its workspace.
///
/// Load: 512 workspaces; a charge takes time proportional to their number, once for each placement.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let mut shares = entry::WorkspaceShares::default();
/// let now = ClockTime::new(1_000);
/// let names = ["heavy", "light"].map(|name| Some(name.parse().unwrap()));
/// let [heavy, light] = names.map(|name| shares.enter(now, name.as_ref()));
/// (0..9).for_each(|_| shares.charge(now, heavy, 1_000));
/// shares.charge(now, light, 1_000);
/// assert!(shares.lag(heavy) > TimeSpan::new(1_000));
/// assert_eq!(shares.lag(light), TimeSpan::ZERO);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    /// Entries in the order in which they were made; a slot is reused when its workspace is
    /// forgotten.
    shares: Vec<WorkspaceShare>,
    /// Slots, sorted by the names of their workspaces.
    by_name: Vec<usize>,
    /// Mean work of the calls that were charged.
    mean_charge: f64,
}

impl WorkspaceShares {
    /// Slot of a workspace one of whose calls begins to wait.
    pub fn enter(&mut self, now: ClockTime, name: Option<&WorkspaceName>) -> ShareSlot {
        let slot = self.find_or_insert(now, name);
        self.shares[slot].waiting += 1;
        ShareSlot(slot)
    }

    /// Records that a call of a workspace no longer waits.
    pub fn leave(&mut self, slot: ShareSlot) {
        let share = &mut self.shares[slot.0];
        share.waiting = share.waiting.saturating_sub(1);
    }

    /// Charges the work of a call that was placed while others wait, and updates the lags.
    pub fn charge(&mut self, now: ClockTime, slot: ShareSlot, work: u64) {
        let share = &mut self.shares[slot.0];
        share.work = share.work_at(now) + work as f64;
        share.charged_at = now;
        self.mean_charge = match self.mean_charge > 0.0 {
            true => self.mean_charge + (work as f64 - self.mean_charge) * CHARGE_WEIGHT,
            false => work as f64,
        };
        self.update_lags(now, slot);
    }

    /// Charges the work of a call of a workspace that was placed without waiting while others wait.
    pub fn charge_direct(&mut self, now: ClockTime, name: Option<&WorkspaceName>, work: u64) {
        let slot = ShareSlot(self.find_or_insert(now, name));
        self.charge(now, slot, work);
    }

    /// Delay of the calls of a workspace in the order of the queue.
    pub fn lag(&self, slot: ShareSlot) -> TimeSpan {
        self.shares[slot.0].lag
    }

    /// Delay of the calls of a workspace of which none may wait.
    pub fn lag_of_name(&self, name: Option<&WorkspaceName>) -> TimeSpan {
        let found = self.search(name);
        found.map_or(TimeSpan::ZERO, |at| self.shares[self.by_name[at]].lag)
    }

    /// Forgets the charged work, since no call waits.
    pub fn reset(&mut self) {
        self.shares.clear();
        self.by_name.clear();
    }

    /// Workspaces with the most charged work, at most `limit`, each with its share of the whole in
    /// thousandths.
    pub fn largest(&self, now: ClockTime, limit: usize) -> Vec<(Option<WorkspaceName>, u32)> {
        let works = self.shares.iter();
        let mut works: Vec<_> = works
            .map(|share| (share.name.clone(), share.work_at(now)))
            .collect();
        let total: f64 = works.iter().map(|(_, work)| work).sum();
        works.sort_by(|one, other| other.1.total_cmp(&one.1));
        works.truncate(limit);
        let shares = works.into_iter().filter(|(_, work)| *work > 0.0);
        shares
            .map(|(name, work)| (name, (work * 1_000.0 / total) as u32))
            .collect()
    }

    fn update_lags(&mut self, now: ClockTime, charged: ShareSlot) {
        let is_active =
            |slot: usize, share: &WorkspaceShare| share.waiting > 0 || slot == charged.0;
        let (mut sum, mut count) = (0.0, 0.0);
        for (slot, share) in self.shares.iter().enumerate() {
            if is_active(slot, share) {
                sum += share.work_at(now);
                count += 1.0;
            }
        }
        let grace = self.mean_charge * GRACE_CALLS;
        for (slot, share) in self.shares.iter_mut().enumerate() {
            let work = share.work_at(now);
            let others = match is_active(slot, share) {
                true => (sum - work, count - 1.0),
                false => (sum, count),
            };
            share.lag = match others.1 > 0.0 {
                true => lag_of((work + grace) / (others.0 / others.1 + grace)),
                false => TimeSpan::ZERO,
            };
        }
    }

    fn find_or_insert(&mut self, now: ClockTime, name: Option<&WorkspaceName>) -> usize {
        let found = self.search(name);
        if let Ok(at) = found {
            return self.by_name[at];
        }
        if self.shares.len() < WORKSPACE_LIMIT {
            let slot = self.shares.len();
            self.shares.push(new_share(now, name));
            return self.index(slot);
        }
        let unused = self
            .shares
            .iter()
            .position(|share| share.waiting == 0 && share.work_at(now) < FORGET_WORK);
        let Some(slot) = unused else {
            // The last entry stands for all workspaces beyond the limit.
            return WORKSPACE_LIMIT - 1;
        };
        self.by_name.retain(|known| *known != slot);
        self.shares[slot] = new_share(now, name);
        self.index(slot)
    }

    /// Adds a slot to the sorted index.
    fn index(&mut self, slot: usize) -> usize {
        let name = self.shares[slot].name.clone();
        let at = self.search(name.as_ref()).unwrap_or_else(|at| at);
        self.by_name.insert(at, slot);
        slot
    }

    fn search(&self, name: Option<&WorkspaceName>) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|slot| self.shares[*slot].name.as_ref().cmp(&name))
    }
}

/// Lag of a workspace whose work is `surplus` times the mean of the others: the time until its work
/// weighs as much as theirs, less the grace.
fn lag_of(surplus: f64) -> TimeSpan {
    let millis = (surplus / SURPLUS_GRACE).max(1.0).ln() * SHARE_WINDOW.as_millis() as f64;
    TimeSpan::new(millis as u64).min(LAG_LIMIT)
}

fn new_share(now: ClockTime, name: Option<&WorkspaceName>) -> WorkspaceShare {
    WorkspaceShare {
        name: name.cloned(),
        work: 0.0,
        charged_at: now,
        waiting: 0,
        lag: TimeSpan::ZERO,
    }
}
