//! The keys that hold a declaration: the `head` key and the keys that it lists by hash.

mod head_manifest;
mod key_set;
mod text_hash;

pub use head_manifest::{HeadEntry, HeadManifest, make_head};
pub use key_set::{KeySet, KeyText};
pub use text_hash::TextHash;
