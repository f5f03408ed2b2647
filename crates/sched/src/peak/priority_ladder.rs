use crate::WorkPriority;

/// Attained tokens at which a sequence gets the next lower priority.
const STEPS: [u32; 3] = [64, 512, 4_096];

/// Priorities by attained service: few levels, so that priorities change seldom.
///
/// ```
/// use sched::{PriorityLadder, WorkPriority};
/// assert_eq!(PriorityLadder::level(0), WorkPriority(0));
/// assert_eq!(PriorityLadder::level(600), WorkPriority(2));
/// ```
pub struct PriorityLadder;

impl PriorityLadder {
    /// Priority of a sequence that produced so many tokens.
    pub fn level(produced: u32) -> WorkPriority {
        let level = STEPS.iter().filter(|step| produced >= **step).count();
        WorkPriority(level as u8)
    }
}
