use bytes::Bytes;
use smol_str::SmolStr;

/// One key with its value and the index of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEntry {
    /// Whole key.
    pub key: SmolStr,
    /// Value of the key.
    pub value: Bytes,
    /// Index of the last change.
    pub modify_index: u64,
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Name of the service that runs on the VM.
    pub service: SmolStr,
    /// Name of the instance.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Address and port.
    pub address: SmolStr,
    /// Whether the VM is about to be taken away.
    pub leaving: bool,
}

/// Keys and VMs, each sorted by name, with one index over all changes.
///
/// ```
/// let mut store = standin::KvStore::new();
/// store.put_keys([("a/b".into(), "1".into())]);
/// assert_eq!(store.keys_under("a/").count(), 1);
/// assert_eq!(store.index(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct KvStore {
    index: u64,
    keys: Vec<KvEntry>,
    nodes: Vec<ListedNode>,
}

impl KvStore {
    /// Creates an empty store at index 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Sets several keys in one transaction.
    pub fn put_keys(&mut self, entries: impl IntoIterator<Item = (SmolStr, Bytes)>) {
        self.index += 1;
        for (key, value) in entries {
            let modify_index = self.index;
            let entry = KvEntry {
                key,
                value,
                modify_index,
            };
            match self.keys.binary_search_by(|old| old.key.cmp(&entry.key)) {
                Ok(at) => self.keys[at] = entry,
                Err(at) => self.keys.insert(at, entry),
            }
        }
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys_under(&self, prefix: &str) -> impl Iterator<Item = &KvEntry> {
        let start = self
            .keys
            .partition_point(|entry| entry.key.as_str() < prefix);
        self.keys[start..]
            .iter()
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Adds or changes a VM.
    pub fn put_node(&mut self, node: ListedNode) {
        self.index += 1;
        match self.nodes.binary_search_by(|old| old.name.cmp(&node.name)) {
            Ok(at) => self.nodes[at] = node,
            Err(at) => self.nodes.insert(at, node),
        }
    }

    /// Removes a VM.
    pub fn remove_node(&mut self, name: &str) {
        self.index += 1;
        self.nodes.retain(|node| node.name != name);
    }

    /// Returns the VMs of a service.
    pub fn nodes_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ListedNode> {
        self.nodes
            .iter()
            .filter(move |node| node.service == service)
    }
}
