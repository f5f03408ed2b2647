use crate::RequestPriority;

/// Numbers of produced tokens at which a sequence gets the next lower priority.
const TOKEN_THRESHOLDS: [u32; 3] = [64, 512, 4_096];

/// Maps the tokens that a sequence has produced (its attained service) to its priority.
///
/// There are few levels so that priorities seldom change.
///
/// ```
/// use sched::{PriorityLevels, RequestPriority};
/// assert_eq!(PriorityLevels::for_tokens(0), RequestPriority(0));
/// assert_eq!(PriorityLevels::for_tokens(600), RequestPriority(2));
/// ```
pub struct PriorityLevels;

impl PriorityLevels {
    /// Priority of a sequence that has produced `produced` tokens.
    pub fn for_tokens(produced: u32) -> RequestPriority {
        let level = TOKEN_THRESHOLDS
            .iter()
            .filter(|threshold| produced >= **threshold)
            .count();
        RequestPriority(level as u8)
    }
}
