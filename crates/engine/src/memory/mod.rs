//! Paged memory and the prefix cache inside it.

mod paged_memory;
mod prefix_cache;

pub use paged_memory::PagedMemory;
pub use prefix_cache::PrefixCache;
