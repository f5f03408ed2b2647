//! Quantities with units, and version numbers.

mod number;
mod revision_number;

pub use number::{
    ByteCount, ByteRate, CallRate, CoreShare, IncarnationNumber, TokenCount, TokenRate,
};
pub use revision_number::RevisionNumber;
