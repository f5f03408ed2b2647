use base::ServiceName;
use smol_str::SmolStr;

/// One declared plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredService {
    /// Name of the service.
    pub name: ServiceName,
    /// HTTP methods whose calls may be retried, sorted.
    pub repeatable: Vec<SmolStr>,
    /// Whether a call continues after its caller has disconnected.
    pub uncancellable: bool,
}

impl DeclaredService {
    /// Returns whether calls with `method` may be retried; undeclared methods may not.
    pub fn is_repeatable(&self, method: &str) -> bool {
        let found = self
            .repeatable
            .binary_search_by(|known| known.as_str().cmp(method));
        found.is_ok()
    }
}
