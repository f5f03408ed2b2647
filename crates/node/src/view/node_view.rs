use std::net::SocketAddr;
use std::sync::Arc;

use base::{RevisionNumber, TargetName};
use fleet::FleetDeclaration;
use tokio::sync::watch;

use super::TargetView;

/// The accepted declaration and the state of the targets.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// Rises with every change.
    pub version: u64,
    /// Revision of the declaration.
    pub revision: Option<RevisionNumber>,
    /// Accepted declaration; `None` until the first one.
    pub fleet: Option<Arc<FleetDeclaration>>,
    /// Whether the node has compared its declaration since its start or its last pause.
    pub ready: bool,
    /// Targets of the own failure domain, sorted by name.
    pub targets: Vec<TargetView>,
}

impl NodeView {
    /// Returns the state of a target of the own domain.
    pub fn target(&self, name: &TargetName) -> Option<&TargetView> {
        let at = self
            .targets
            .binary_search_by(|entry| entry.target.cmp(name));
        Some(&self.targets[at.ok()?])
    }

    /// Returns the address of any declared target.
    pub fn address(&self, name: &TargetName) -> Option<SocketAddr> {
        let fleet = self.fleet.as_ref()?;
        Some(fleet.target(name)?.address)
    }
}

/// Holds the current view; clones share it.
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

    /// Changes the view and raises its version.
    pub fn edit(&self, change: impl FnOnce(&mut NodeView)) {
        self.sender.send_modify(|current| {
            let mut view = NodeView::clone(current);
            change(&mut view);
            view.version += 1;
            *current = Arc::new(view);
        });
    }

    /// Watches for changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<NodeView>> {
        self.sender.subscribe()
    }
}

impl Default for ViewCell {
    fn default() -> Self {
        Self::new()
    }
}
