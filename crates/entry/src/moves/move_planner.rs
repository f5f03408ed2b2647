use base::{ClockTime, TimeSpan, TokenRate};
use serde::{Deserialize, Serialize};

/// Largest number of generated tokens that counts for the worth of a move. Beyond that, a generation
/// is about to end anyway.
const MAX_PRODUCED: u32 = 1_500;
/// Time of the second step of a move, which stops the generation and copies what is new; 26 ms at
/// the 90th percentile.
const STOP_TIME: TimeSpan = TimeSpan::new(30);
/// Factor by which a copy to another failure domain takes longer.
const DOMAIN_FACTOR: u64 = 2;

/// What the move of a generation saves, in relation to the time that its copy takes; of two moves,
/// the greater one goes first.
///
/// ```
/// use entry::MoveWorth;
/// assert!(MoveWorth::new(400, 3_400) > MoveWorth::new(100, 3_100));
/// assert!(MoveWorth::new(400, 3_400) > MoveWorth::new(400, 6_400));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MoveWorth(u64);

impl MoveWorth {
    /// Worth of the move of a generation that has produced some tokens and takes others to copy.
    pub fn new(produced: u32, copy_tokens: u64) -> Self {
        Self(u64::from(produced.min(MAX_PRODUCED)) * 1_000_000 / copy_tokens.max(1))
    }
}

/// How to move a generation in the time that is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MovePlan {
    /// Copy it while it runs, then stop it and copy the rest.
    TwoSteps,
    /// Stop it at once and copy it while it is stopped: its caller sees a pause, but it is saved.
    OneStep,
    /// Don't copy it: the copy would not end before the engine does, and would delay others.
    Skip,
}

/// Plans the move of one generation.
///
/// Handles the copy rate of one engine; a plan takes constant time.
///
/// ```
/// use base::{ClockTime, TokenRate};
/// use entry::{MovePlan, MovePlanner};
/// let planner = MovePlanner::new(TokenRate(10_000));
/// let (now, ends_by) = (ClockTime::new(1_000), Some(ClockTime::new(1_250)));
/// assert_eq!(planner.plan(now, ends_by, 1_000, true), MovePlan::TwoSteps);
/// assert_eq!(planner.plan(now, ends_by, 2_400, true), MovePlan::OneStep);
/// assert_eq!(planner.plan(now, ends_by, 2_400, false), MovePlan::Skip);
/// assert_eq!(planner.plan(now, None, 2_400, false), MovePlan::TwoSteps);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MovePlanner {
    rate: TokenRate,
}

impl MovePlanner {
    /// Creates the planner for engines that copy at `rate` within a failure domain.
    pub fn new(rate: TokenRate) -> Self {
        Self { rate }
    }

    /// Time that a copy takes when nothing else is copied over the links of both engines.
    pub fn copy_time(&self, tokens: u64, is_same_domain: bool) -> TimeSpan {
        let time = TimeSpan::new(tokens.saturating_mul(1_000) / self.rate.0.max(1));
        match is_same_domain {
            true => time,
            false => time * DOMAIN_FACTOR,
        }
    }

    /// How to move a generation whose copy of `tokens` would begin now, off an engine that ends at
    /// `ends_by` at the latest.
    ///
    /// One step costs the caller a pause for certain. It is chosen only where two steps would lose
    /// the generation, since a late answer is worth a fifth of one on time.
    pub fn plan(
        &self,
        now: ClockTime,
        ends_by: Option<ClockTime>,
        tokens: u64,
        is_same_domain: bool,
    ) -> MovePlan {
        let Some(ends_by) = ends_by else {
            return MovePlan::TwoSteps;
        };
        let copied_at = now + self.copy_time(tokens, is_same_domain);
        if copied_at > ends_by {
            MovePlan::Skip
        } else if copied_at + STOP_TIME > ends_by {
            MovePlan::OneStep
        } else {
            MovePlan::TwoSteps
        }
    }
}
