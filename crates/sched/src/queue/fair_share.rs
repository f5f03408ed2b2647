use std::collections::HashMap;

use base::WorkspaceName;

/// Tokens of work that weigh as one unit of virtual time at weight 1.
const UNIT: u64 = 1 << 10;

/// Virtual times of workspaces (start-time fair queueing).
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
    now: u64,
    finished: HashMap<WorkspaceName, u64>,
}

impl FairShare {
    /// Virtual time at which the next request of a workspace starts.
    pub fn start_of(&self, workspace: &WorkspaceName) -> u64 {
        let finished = self.finished.get(workspace).copied().unwrap_or(0);
        finished.max(self.now)
    }

    /// Notes that a request of `cost` tokens was served and advances virtual time.
    pub fn charge(&mut self, workspace: &WorkspaceName, weight: u32, cost: u64) {
        let start = self.start_of(workspace);
        self.now = self.now.max(start);
        let finish = start + cost.max(1) * UNIT / u64::from(weight.max(1));
        self.finished.insert(workspace.clone(), finish);
    }

    /// Forgets workspaces that have no advantage or debt any more.
    pub fn prune(&mut self) {
        let now = self.now;
        self.finished.retain(|_, finished| *finished > now);
    }
}
