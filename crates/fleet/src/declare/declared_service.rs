use base::ServiceName;
use smol_str::SmolStr;

/// One plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredService {
    /// Name of the service.
    pub name: ServiceName,
    /// Methods whose calls may be repeated, sorted.
    pub repeatable: Vec<SmolStr>,
    /// Whether a call goes on after its caller went away.
    pub uncancellable: bool,
}

impl DeclaredService {
    /// Tells whether calls with `method` may be repeated; undeclared ones may not.
    pub fn is_repeatable(&self, method: &str) -> bool {
        let found = self
            .repeatable
            .binary_search_by(|known| known.as_str().cmp(method));
        found.is_ok()
    }
}
