use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::{RequestId, WorkspaceName};

use super::{FairShare, QueueLane, QueuedItem};

/// Rank and identifier of a request: its order within a lane of its workspace.
type ItemKey = (u64, RequestId);

/// Key that finds a waiting request in its queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Lane in which the request waits.
    pub lane: QueueLane,
    /// Rank of the request in the lane.
    pub rank: u64,
    /// The request.
    pub request: RequestId,
}

impl QueuePosition {
    /// Returns the position of a queued request.
    pub fn of(queued: &QueuedItem) -> Self {
        Self {
            workspace: queued.item.workspace.clone(),
            lane: queued.lane,
            rank: queued.rank,
            request: queued.item.request.clone(),
        }
    }
}

/// Waiting requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual start time of the next request; orders the workspaces.
    virtual_start: u64,
    cost: u64,
    paused: bool,
    lanes: [BTreeMap<ItemKey, QueuedItem>; 2],
}

/// Queue of the requests with the same candidates.
///
/// Workspaces are served by fair queueing, the requests of one workspace in order of rank. Each
/// lane is ordered by itself.
///
/// ```
/// let queue = sched::WorkQueue::default();
/// assert!(queue.head(sched::QueueLane::Quick).is_none());
/// ```
#[derive(Debug, Default)]
pub struct WorkQueue {
    share: FairShare,
    workspaces: HashMap<WorkspaceName, WorkspaceQueue>,
    /// Workspaces with waiting requests in each lane, by virtual start time.
    service_order: [BTreeSet<(u64, WorkspaceName)>; 2],
    /// Cost of the waiting requests in each lane.
    costs: [u64; 2],
    count: usize,
}

impl WorkQueue {
    /// Adds a request; if `paused`, its workspace is skipped until it is resumed.
    pub fn push(&mut self, queued: QueuedItem, paused: bool) {
        let name = queued.item.workspace.clone();
        let lane = queued.lane;
        let virtual_start = self.share.start_of(&name);
        self.remove_from_order(&name);
        let queue = self
            .workspaces
            .entry(name.clone())
            .or_insert_with(|| WorkspaceQueue {
                virtual_start,
                ..WorkspaceQueue::default()
            });
        queue.paused = paused;
        queue.cost += queued.cost;
        self.costs[lane as usize] += queued.cost;
        self.count += 1;
        let key = (queued.rank, queued.item.request.clone());
        queue.lanes[lane as usize].insert(key, queued);
        self.insert_into_order(&name);
    }

    /// Returns the request to serve next in a lane.
    pub fn head(&self, lane: QueueLane) -> Option<&QueuedItem> {
        let (_, name) = self.service_order[lane as usize].first()?;
        let queue = self.workspaces.get(name)?;
        queue.lanes[lane as usize]
            .first_key_value()
            .map(|(_, queued)| queued)
    }

    /// Returns the requests at the head of each workspace of a lane, in the order of service.
    pub fn heads(&self, lane: QueueLane) -> impl Iterator<Item = &QueuedItem> {
        let queues = self.service_order[lane as usize].iter();
        let queues = queues.filter_map(|(_, name)| self.workspaces.get(name));
        queues.filter_map(move |queue| {
            let first = queue.lanes[lane as usize].first_key_value();
            first.map(|(_, queued)| queued)
        })
    }

    /// Removes a request without charging its workspace.
    pub fn remove(&mut self, position: &QueuePosition) -> Option<QueuedItem> {
        let queue = self.workspaces.get_mut(&position.workspace)?;
        let lane = &mut queue.lanes[position.lane as usize];
        let queued = lane.remove(&(position.rank, position.request.clone()))?;
        queue.cost -= queued.cost;
        self.costs[position.lane as usize] -= queued.cost;
        self.count -= 1;
        if lane.is_empty() {
            let entry = (queue.virtual_start, position.workspace.clone());
            self.service_order[position.lane as usize].remove(&entry);
        }
        if queue.lanes.iter().all(BTreeMap::is_empty) {
            self.workspaces.remove(&position.workspace);
        }
        Some(queued)
    }

    /// Removes a request to dispatch it and charges its workspace for it.
    pub fn serve(&mut self, position: &QueuePosition) -> Option<QueuedItem> {
        let queued = self.remove(position)?;
        self.charge(&position.workspace, queued.item.weight, queued.cost);
        Some(queued)
    }

    /// Charges a workspace for a served request and updates its place in the order of service.
    pub fn charge(&mut self, workspace: &WorkspaceName, weight: u32, cost: u64) {
        self.remove_from_order(workspace);
        self.share.charge(workspace, weight, cost);
        let virtual_start = self.share.start_of(workspace);
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.virtual_start = virtual_start;
        }
        self.insert_into_order(workspace);
    }

    /// Pauses or resumes a workspace; a paused one is skipped.
    pub fn set_paused(&mut self, workspace: &WorkspaceName, paused: bool) {
        self.remove_from_order(workspace);
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.paused = paused;
        }
        self.insert_into_order(workspace);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Cost of the waiting requests in a lane and in the lanes served before it.
    pub fn cost_ahead(&self, lane: QueueLane) -> u64 {
        match lane {
            QueueLane::Quick => self.costs[0],
            QueueLane::Long => self.costs[0] + self.costs[1],
        }
    }

    /// Cost of the waiting requests of one workspace, and the number of workspaces with waiting
    /// requests.
    pub fn workspace_cost_and_count(&self, workspace: &WorkspaceName) -> (u64, usize) {
        let cost = self.workspaces.get(workspace).map_or(0, |queue| queue.cost);
        (cost, self.workspaces.len())
    }

    /// Removes workspaces without effect on fair queueing any more.
    pub fn prune(&mut self) {
        self.share.prune();
    }

    /// Removes a workspace from the order of service, before its key changes.
    fn remove_from_order(&mut self, workspace: &WorkspaceName) {
        let Some(queue) = self.workspaces.get(workspace) else {
            return;
        };
        let entry = (queue.virtual_start, workspace.clone());
        for order in &mut self.service_order {
            order.remove(&entry);
        }
    }

    /// Adds a workspace to the order of service of the lanes in which it has requests, unless it is
    /// paused.
    fn insert_into_order(&mut self, workspace: &WorkspaceName) {
        let Some(queue) = self.workspaces.get(workspace) else {
            return;
        };
        if queue.paused {
            return;
        }
        for (lane, order) in queue.lanes.iter().zip(&mut self.service_order) {
            if !lane.is_empty() {
                order.insert((queue.virtual_start, workspace.clone()));
            }
        }
    }
}
