//! Allocation of memory pages, and the prefix cache that uses some of them.

mod page_allocator;
mod prefix_cache;

pub use page_allocator::PageAllocator;
pub use prefix_cache::PrefixCache;
