use bytes::Bytes;
use smol_str::SmolStr;

/// One key with its value and the index of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEntry {
    /// Full key.
    pub key: SmolStr,
    /// Value of the key.
    pub value: Bytes,
    /// Index of the last change of this key.
    pub modify_index: u64,
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name of the service that runs on the VM.
    pub service: SmolStr,
    /// Name of the instance.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Address and port.
    pub address: SmolStr,
    /// Whether the platform is going to take the VM away.
    pub leaving: bool,
}

/// Keys and VMs of the platform, each sorted by name, with one index that counts all changes.
///
/// ```
/// let mut store = standin::PlatformStore::new();
/// store.put_keys([("a/b".into(), "1".into())]);
/// assert_eq!(store.keys_under("a/").count(), 1);
/// assert_eq!(store.index(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlatformStore {
    index: u64,
    keys: Vec<KvEntry>,
    vms: Vec<ListedVm>,
}

impl PlatformStore {
    /// Creates an empty store at index 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of the last change.
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

    /// Adds a VM or replaces the one of that name.
    pub fn put_vm(&mut self, vm: ListedVm) {
        self.index += 1;
        match self.vms.binary_search_by(|old| old.name.cmp(&vm.name)) {
            Ok(at) => self.vms[at] = vm,
            Err(at) => self.vms.insert(at, vm),
        }
    }

    /// Removes a VM.
    pub fn remove_vm(&mut self, name: &str) {
        self.index += 1;
        self.vms.retain(|vm| vm.name != name);
    }

    /// Returns the VMs of a service.
    pub fn vms_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ListedVm> {
        self.vms.iter().filter(move |vm| vm.service == service)
    }
}
