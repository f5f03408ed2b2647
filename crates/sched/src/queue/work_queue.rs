use std::collections::{BTreeMap, BTreeSet, HashMap};

use base::{RequestId, WorkspaceName};

use super::{FairShare, QueueLane, QueuedItem};

type ItemKey = (u64, RequestId);

/// Where a waiting request is found in its queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueHead {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Lane in which it waits.
    pub lane: QueueLane,
    /// Its rank in the lane.
    pub rank: u64,
    /// The request.
    pub request: RequestId,
}

impl QueueHead {
    /// Returns the place of a queued item.
    pub fn of_item(queued: &QueuedItem) -> Self {
        Self {
            workspace: queued.item.workspace.clone(),
            lane: queued.lane,
            rank: queued.rank,
            request: queued.item.request.clone(),
        }
    }
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    start: u64,
    cost: u64,
    paused: bool,
    lanes: [BTreeMap<ItemKey, QueuedItem>; 2],
}

/// Waiting requests with the same candidates: fair among workspaces, by rank within one.
///
/// ```
/// let queue = sched::WorkQueue::default();
/// assert!(queue.head(sched::QueueLane::Quick).is_none());
/// ```
#[derive(Debug, Default)]
pub struct WorkQueue {
    share: FairShare,
    workspaces: HashMap<WorkspaceName, WorkspaceQueue>,
    order: [BTreeSet<(u64, WorkspaceName)>; 2],
    costs: [u64; 2],
    count: usize,
}

impl WorkQueue {
    /// Adds a request; a paused workspace is passed over until it is resumed.
    pub fn push(&mut self, queued: QueuedItem, paused: bool) {
        let name = queued.item.workspace.clone();
        let lane = queued.lane;
        let start = self.share.start_of(&name);
        self.unlist(&name);
        let queue = self
            .workspaces
            .entry(name.clone())
            .or_insert_with(|| WorkspaceQueue {
                start,
                ..WorkspaceQueue::default()
            });
        queue.paused = paused;
        queue.cost += queued.cost;
        self.costs[lane as usize] += queued.cost;
        self.count += 1;
        let key = (queued.rank, queued.item.request.clone());
        queue.lanes[lane as usize].insert(key, queued);
        self.list(&name);
    }

    /// Returns the request to serve next in a lane.
    pub fn head(&self, lane: QueueLane) -> Option<&QueuedItem> {
        let (_, name) = self.order[lane as usize].first()?;
        let queue = self.workspaces.get(name)?;
        queue.lanes[lane as usize]
            .first_key_value()
            .map(|(_, queued)| queued)
    }

    /// Returns the requests at the head of each workspace of a lane, in the order of service.
    pub fn heads(&self, lane: QueueLane) -> impl Iterator<Item = &QueuedItem> {
        let queues = self.order[lane as usize].iter();
        let queues = queues.filter_map(|(_, name)| self.workspaces.get(name));
        queues.filter_map(move |queue| {
            let first = queue.lanes[lane as usize].first_key_value();
            first.map(|(_, queued)| queued)
        })
    }

    /// Takes a request out without serving it.
    pub fn remove(&mut self, head: &QueueHead) -> Option<QueuedItem> {
        let queue = self.workspaces.get_mut(&head.workspace)?;
        let lane = &mut queue.lanes[head.lane as usize];
        let queued = lane.remove(&(head.rank, head.request.clone()))?;
        queue.cost -= queued.cost;
        self.costs[head.lane as usize] -= queued.cost;
        self.count -= 1;
        if lane.is_empty() {
            let entry = (queue.start, head.workspace.clone());
            self.order[head.lane as usize].remove(&entry);
        }
        if queue.lanes.iter().all(BTreeMap::is_empty) {
            self.workspaces.remove(&head.workspace);
        }
        Some(queued)
    }

    /// Takes a request out and charges its workspace for it.
    pub fn serve(&mut self, head: &QueueHead) -> Option<QueuedItem> {
        let queued = self.remove(head)?;
        self.charge(&head.workspace, queued.item.weight, queued.cost);
        Some(queued)
    }

    /// Charges a workspace for a request that did not have to wait.
    pub fn charge(&mut self, workspace: &WorkspaceName, weight: u32, cost: u64) {
        self.unlist(workspace);
        self.share.charge(workspace, weight, cost);
        let start = self.share.start_of(workspace);
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.start = start;
        }
        self.list(workspace);
    }

    /// Passes over a workspace, or no longer does.
    pub fn set_paused(&mut self, workspace: &WorkspaceName, paused: bool) {
        self.unlist(workspace);
        if let Some(queue) = self.workspaces.get_mut(workspace) {
            queue.paused = paused;
        }
        self.list(workspace);
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Work that would be served before a request that joined a lane now.
    pub fn cost_ahead(&self, lane: QueueLane) -> u64 {
        match lane {
            QueueLane::Quick => self.costs[0],
            QueueLane::Long => self.costs[0] + self.costs[1],
        }
    }

    /// Waiting work of one workspace and the number of workspaces that wait.
    pub fn cost_of(&self, workspace: &WorkspaceName) -> (u64, usize) {
        let cost = self.workspaces.get(workspace).map_or(0, |queue| queue.cost);
        (cost, self.workspaces.len())
    }

    /// Forgets what has no influence any more.
    pub fn prune(&mut self) {
        self.share.prune();
    }

    fn unlist(&mut self, workspace: &WorkspaceName) {
        let Some(queue) = self.workspaces.get(workspace) else {
            return;
        };
        let entry = (queue.start, workspace.clone());
        for order in &mut self.order {
            order.remove(&entry);
        }
    }

    fn list(&mut self, workspace: &WorkspaceName) {
        let Some(queue) = self.workspaces.get(workspace) else {
            return;
        };
        if queue.paused {
            return;
        }
        for (lane, order) in queue.lanes.iter().zip(&mut self.order) {
            if !lane.is_empty() {
                order.insert((queue.start, workspace.clone()));
            }
        }
    }
}
