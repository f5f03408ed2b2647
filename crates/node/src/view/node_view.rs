use std::net::SocketAddr;
use std::sync::Arc;

use base::{RevisionNumber, TargetName};
use fleet::FleetDeclaration;
use tokio::sync::watch;

use super::TargetView;

/// What the node knows about the fleet: the accepted declaration and the states of the targets.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// Number of the view, increased with every change.
    pub version: u64,
    /// Revision of the accepted declaration.
    pub revision: Option<RevisionNumber>,
    /// Accepted declaration; `None` before the first one.
    pub fleet: Option<Arc<FleetDeclaration>>,
    /// Whether the node has compared its declaration with others since it started or was last paused.
    pub ready: bool,
    /// States of the targets of this node's failure domain, sorted by name.
    pub targets: Vec<TargetView>,
}

impl NodeView {
    /// Returns the state of a target of this node's domain.
    pub fn target(&self, name: &TargetName) -> Option<&TargetView> {
        let at = self
            .targets
            .binary_search_by(|entry| entry.target.cmp(name));
        Some(&self.targets[at.ok()?])
    }

    /// Returns the address of a declared target of any failure domain.
    pub fn target_address(&self, name: &TargetName) -> Option<SocketAddr> {
        let fleet = self.fleet.as_ref()?;
        Some(fleet.target(name)?.address)
    }
}

/// Shared cell that holds the current view; clones refer to the same cell.
#[derive(Clone, Debug)]
pub struct ViewCell {
    sender: watch::Sender<Arc<NodeView>>,
}

impl ViewCell {
    /// Creates a cell with an empty view.
    ///
    /// ```
    /// let cell = node::ViewCell::new();
    /// assert!(cell.get().fleet.is_none());
    /// ```
    pub fn new() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
        }
    }

    /// Returns the current view.
    pub fn get(&self) -> Arc<NodeView> {
        self.sender.borrow().clone()
    }

    /// Applies `change` to a copy of the view, increases its version and makes it the current view.
    pub fn update(&self, change: impl FnOnce(&mut NodeView)) {
        self.sender.send_modify(|current| {
            let mut view = NodeView::clone(current);
            change(&mut view);
            view.version += 1;
            *current = Arc::new(view);
        });
    }

    /// Returns a receiver that is notified of every new view.
    pub fn subscribe(&self) -> watch::Receiver<Arc<NodeView>> {
        self.sender.subscribe()
    }
}

impl Default for ViewCell {
    fn default() -> Self {
        Self::new()
    }
}
