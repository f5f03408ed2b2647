use std::collections::HashMap;

use base::WorkspaceName;

/// Virtual time that one token of work takes at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 10;

/// Virtual clock that divides service among workspaces by weight (start-time fair queueing).
///
/// Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996.
///
/// ```
/// let mut share = sched::FairShare::default();
/// let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
/// share.charge(&a, 1, 500);
/// assert!(share.start_of(&b) < share.start_of(&a));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    virtual_now: u64,
    /// Virtual finish time of the last served request of each workspace.
    finish_times: HashMap<WorkspaceName, u64>,
}

impl FairShare {
    /// Virtual start time of the next request of a workspace; the smallest one is served first.
    pub fn start_of(&self, workspace: &WorkspaceName) -> u64 {
        let finish = self.finish_times.get(workspace).copied().unwrap_or(0);
        finish.max(self.virtual_now)
    }

    /// Charges a workspace for a served request of `cost` tokens and advances virtual time.
    pub fn charge(&mut self, workspace: &WorkspaceName, weight: u32, cost: u64) {
        let start = self.start_of(workspace);
        self.virtual_now = self.virtual_now.max(start);
        let finish = start + cost.max(1) * VIRTUAL_TIME_PER_TOKEN / u64::from(weight.max(1));
        self.finish_times.insert(workspace.clone(), finish);
    }

    /// Removes workspaces whose last finish time has passed; they start at the current virtual
    /// time like unknown ones.
    pub fn prune(&mut self) {
        let now = self.virtual_now;
        self.finish_times.retain(|_, finish| *finish > now);
    }
}
