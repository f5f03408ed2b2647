//! The keys of a declaration: the `head` key and the texts that it lists by hash.

mod head_file;
mod key_set;
mod text_hash;

pub use head_file::{HeadEntry, HeadFile, make_head};
pub use key_set::{KeySet, KeyText};
pub use text_hash::TextHash;
