use fleet::{DeclaredWorkspace, FleetDeclaration};
use hyper::header::{AUTHORIZATION, HeaderMap};
use sha2::{Digest, Sha256};

/// Finds the workspace of a caller by its bearer key; the declaration holds only the SHA-256 hash
/// of the key.
pub fn authenticate_workspace<'a>(
    fleet: &'a FleetDeclaration,
    headers: &HeaderMap,
) -> Option<&'a DeclaredWorkspace> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    let hash: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
    fleet.workspace_by_key_hash(&hash)
}
