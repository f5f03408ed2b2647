//! Compares the stream tracker with a naive one that stores the offset of every delivered token.

mod seeded;

use calls::{EndVerdict, StreamTracker, TokenVerdict};
use proptest::prelude::*;

/// Reference implementation that scans the list of delivered offsets.
#[derive(Default)]
struct NaiveTracker {
    delivered: Vec<u64>,
}

impl NaiveTracker {
    fn accept(&mut self, same_generation: bool, offset: u64, len: u32) -> TokenVerdict {
        let Some(end) = offset.checked_add(u64::from(len)) else {
            return if same_generation {
                TokenVerdict::Gap
            } else {
                TokenVerdict::OtherGeneration
            };
        };
        if !same_generation {
            return TokenVerdict::OtherGeneration;
        }
        let first_missing = (0..).find(|at| !self.delivered.contains(at)).unwrap();
        if end <= first_missing {
            return TokenVerdict::Duplicate;
        }
        if offset != first_missing {
            return TokenVerdict::Gap;
        }
        self.delivered.extend(offset..end);
        TokenVerdict::Deliver
    }

    fn check_end(&self, same_generation: bool, count: u64) -> EndVerdict {
        if !same_generation {
            return EndVerdict::OtherGeneration;
        }
        let all_delivered = (0..count).all(|at| self.delivered.contains(&at));
        match (all_delivered, self.delivered.iter().all(|at| *at < count)) {
            (true, true) => EndVerdict::Complete,
            (true, false) => EndVerdict::CountTooLow,
            (false, _) => EndVerdict::Gap,
        }
    }
}

proptest! {
    #![proptest_config(seeded::config(500))]

    /// Guards P1 (tokens in order, once, from one generation): the tracker gives the same verdicts
    /// as the naive one for any sequence of token and end events.
    #[test]
    fn tracker_agrees_with_the_naive_one(
        steps in prop::collection::vec(
            (prop::bool::weighted(0.9), prop_oneof![20 => 0_u64..20, 1 => Just(u64::MAX)], 0_u32..4),
            1..80,
        ),
    ) {
        let mut tracker = StreamTracker::new("g1".parse().unwrap(), 0);
        let mut naive = NaiveTracker::default();
        for (same_generation, offset, len) in steps {
            let name = if same_generation { "g1" } else { "g2" };
            let end = naive.check_end(same_generation, offset.min(1_000));
            prop_assert_eq!(tracker.check_end(name, offset), end);
            let token = naive.accept(same_generation, offset, len);
            prop_assert_eq!(tracker.accept(name, offset, len), token);
        }
    }
}
