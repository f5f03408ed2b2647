//! Rendezvous hashing (Thaler and Ravishankar, 1996): assigns a key to one of several names so that
//! adding or removing a name moves only the keys that this name owns.

/// Score of `name` for `key`; the name with the highest score owns the key.
///
/// ```
/// assert_eq!(base::rank_score("key", "a"), base::rank_score("key", "a"));
/// ```
pub fn rank_score(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(name.as_bytes());
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns `names` by descending score for `key`: the owner first, then its successors.
///
/// ```
/// let names = ["a", "b", "c"];
/// let order = base::rank_owners("key", names);
/// assert_eq!(Some(order[0]), base::top_owner("key", names));
/// ```
pub fn rank_owners<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = names
        .into_iter()
        .map(|name| (rank_score(key, name), name))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns the owner of `key` among `names`, or `None` if there are no names.
///
/// ```
/// assert_eq!(base::top_owner("key", []), None);
/// ```
pub fn top_owner<'a>(key: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    names
        .into_iter()
        .max_by_key(|name| (rank_score(key, name), *name))
}
