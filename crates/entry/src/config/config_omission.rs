use smol_str::SmolStr;

/// An entry of a published configuration that can't be used and is left out, while the rest of the
/// configuration comes into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigOmission {
    /// The entry, as operators find it.
    pub entry: SmolStr,
    /// Why it can't be used.
    pub reason: SmolStr,
}
