use std::io::{self, ErrorKind};

/// Whether a listening socket that could not be opened may be opened later: its address is in use or
/// not yet assigned, or the system lacks a resource. A lack of rights stays.
///
/// ```
/// use std::io::ErrorKind;
/// assert!(web::is_transient_bind_error(&ErrorKind::AddrInUse.into()));
/// assert!(!web::is_transient_bind_error(&ErrorKind::PermissionDenied.into()));
/// ```
pub fn is_transient_bind_error(error: &io::Error) -> bool {
    !matches!(
        error.kind(),
        ErrorKind::PermissionDenied | ErrorKind::InvalidInput | ErrorKind::Unsupported
    )
}
