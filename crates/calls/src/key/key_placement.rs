use base::{NodeName, rank_owners};

use crate::KeyId;

/// Home and witnesses of a key under one list of declared nodes.
///
/// The home runs the key, but only after a witness has recorded its consent. After a restart the
/// home therefore asks only these few witnesses, and not every node that may have forwarded the
/// key.
///
/// ```
/// use calls::{KeyId, KeyPlacement};
/// let names = ["n1", "n2", "n3"].map(|name| name.parse().unwrap());
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// let placement = KeyPlacement::new(key, &names, 1).unwrap();
/// assert_eq!(placement.witnesses.len(), 1);
/// assert_ne!(placement.home, placement.witnesses[0]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyPlacement {
    /// The first node in rendezvous order.
    pub home: NodeName,
    /// The nodes that follow it.
    pub witnesses: Vec<NodeName>,
}

impl KeyPlacement {
    /// Places `key` on the nodes `names` by rendezvous hashing; `None` if there are no names.
    pub fn new(key: KeyId, names: &[NodeName], witnesses: usize) -> Option<Self> {
        let text = key.to_string();
        let order = rank_owners(&text, names.iter().map(NodeName::as_str));
        let mut order = order.into_iter().filter_map(|name| name.parse().ok());
        Some(Self {
            home: order.next()?,
            witnesses: order.take(witnesses).collect(),
        })
    }
}
