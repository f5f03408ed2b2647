use base::{NodeName, rank_owners};

use crate::KeyId;

/// Home and witnesses of a key under one list of declared nodes.
///
/// The home runs the key, but only after a witness has noted that it may. After a restart the
/// home asks its few witnesses instead of every node that may have passed the key on.
///
/// ```
/// use calls::{KeyId, KeyRanking};
/// let names = ["n1", "n2", "n3"].map(|name| name.parse().unwrap());
/// let key = KeyId::new(&"tarn".parse().unwrap(), "order-17");
/// let ranking = KeyRanking::new(key, &names, 1).unwrap();
/// assert_eq!(ranking.witnesses.len(), 1);
/// assert_ne!(ranking.home, ranking.witnesses[0]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRanking {
    /// First in rendezvous order.
    pub home: NodeName,
    /// The next ones.
    pub witnesses: Vec<NodeName>,
}

impl KeyRanking {
    /// Ranks `names` for `key`; `None` if there are no names.
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
