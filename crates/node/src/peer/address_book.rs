use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use base::NodeName;

/// Known peer addresses of the other nodes; clones share one book.
///
/// ```
/// let book = node::AddressBook::new();
/// let name: base::NodeName = "balaju-1".parse().unwrap();
/// book.set(name.clone(), "127.0.0.1:9000".parse().unwrap());
/// assert!(book.get(&name).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    addresses: Arc<RwLock<BTreeMap<NodeName, SocketAddr>>>,
}

impl AddressBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the address of a node, replacing an earlier one.
    pub fn set(&self, node: NodeName, address: SocketAddr) {
        let mut addresses = self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.insert(node, address);
    }

    /// Returns the address of a node; `None` if it is not known.
    pub fn get(&self, node: &NodeName) -> Option<SocketAddr> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.get(node).copied()
    }
}
