use super::RumorKey;

/// Rumours that wait, bounded.
const QUEUE_LIMIT: usize = 1_024;

/// Rumours with the number of messages that carried them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RumorQueue {
    rumors: Vec<(u32, RumorKey)>,
}

impl RumorQueue {
    /// Adds a rumour, or lets it start again if it changed.
    pub(crate) fn push(&mut self, key: RumorKey) {
        self.rumors.retain(|(_, known)| *known != key);
        if self.rumors.len() < QUEUE_LIMIT {
            self.rumors.push((0, key));
        }
    }

    /// Returns the `count` least sent rumours and counts them as sent; each is sent `limit` times.
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
