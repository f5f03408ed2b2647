//! Queue of rumours: changes that are spread by attaching them to outgoing messages.

mod rumor_key;
mod rumor_queue;

pub(crate) use rumor_key::RumorKey;
pub(crate) use rumor_queue::RumorQueue;
