/// Least similarity of a suggestion; names less similar than this confuse more than they help.
const MIN_SIMILARITY: f64 = 0.5;

/// Returns the name most similar to `found`; `None` if none is similar enough.
///
/// ```
/// let names = ["listen", "key"];
/// assert_eq!(schema::nearest_name("lisen", names), Some("listen"));
/// assert_eq!(schema::nearest_name("zzz", names), None);
/// ```
pub fn nearest_name<'a>(found: &str, names: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let similarity = |name: &str| strsim::normalized_damerau_levenshtein(found, name);
    names
        .into_iter()
        .map(|name| (similarity(name), name))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0).then(right.1.cmp(left.1)))
        .map(|(_, name)| name)
}
