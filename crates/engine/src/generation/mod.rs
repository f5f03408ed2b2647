//! What can be read of a generation while it runs and for a time after it.

mod generation_log;
mod generation_view;

pub use generation_log::GenerationLog;
pub use generation_view::{GenerationEnd, GenerationView};
