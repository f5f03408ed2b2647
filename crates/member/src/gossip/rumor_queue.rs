use super::RumorKey;

/// Rumours that the queue holds; further ones are dropped.
const MAX_QUEUED_RUMORS: usize = 1_024;

/// Rumours to send, each with the number of messages that have carried it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumorQueue {
    rumors: Vec<(u32, RumorKey)>,
}

impl RumorQueue {
    /// Queues a rumour; one that is queued already starts again with a send count of zero.
    pub(crate) fn push(&mut self, key: RumorKey) {
        self.rumors.retain(|(_, known)| *known != key);
        if self.rumors.len() < MAX_QUEUED_RUMORS {
            self.rumors.push((0, key));
        }
    }

    /// Returns up to `count` rumours, the least sent first, and counts them as sent. A rumour is
    /// removed once it was sent `limit` times.
    pub(crate) fn take(&mut self, count: usize, limit: u32) -> Vec<RumorKey> {
        self.rumors.sort_by_key(|(sent, _)| *sent);
        let mut keys = Vec::new();
        for (sent, key) in self.rumors.iter_mut().take(count) {
            *sent += 1;
            keys.push(key.clone());
        }
        self.rumors.retain(|(sent, _)| *sent < limit);
        keys
    }
}
