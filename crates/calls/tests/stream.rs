//! Guards the stream tracker against a naive one that remembers every delivered token.

mod seeded;

use calls::{EndVerdict, StreamTracker, TokenVerdict};
use proptest::prelude::*;

/// Keeps the set of delivered offsets and decides by scanning it.
#[derive(Default)]
struct NaiveTracker {
    delivered: Vec<u64>,
}

impl NaiveTracker {
    fn accept(&mut self, own: bool, offset: u64, len: u32) -> TokenVerdict {
        let Some(end) = offset.checked_add(u64::from(len)) else {
            return if own {
                TokenVerdict::Gap
            } else {
                TokenVerdict::OtherGeneration
            };
        };
        if !own {
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

    fn check_end(&self, own: bool, count: u64) -> EndVerdict {
        if !own {
            return EndVerdict::OtherGeneration;
        }
        let whole = (0..count).all(|at| self.delivered.contains(&at));
        match (whole, self.delivered.iter().all(|at| *at < count)) {
            (true, true) => EndVerdict::Complete,
            (true, false) => EndVerdict::CountTooLow,
            (false, _) => EndVerdict::Gap,
        }
    }
}

proptest! {
    #![proptest_config(seeded::config(500))]

    /// Guards P1: the same verdicts as the naive tracker on any sequence of tokens and ends.
    #[test]
    fn tracker_agrees_with_the_naive_one(
        steps in prop::collection::vec(
            (prop::bool::weighted(0.9), prop_oneof![20 => 0_u64..20, 1 => Just(u64::MAX)], 0_u32..4),
            1..80,
        ),
    ) {
        let mut tracker = StreamTracker::new("g1".parse().unwrap(), 0);
        let mut naive = NaiveTracker::default();
        for (own, offset, len) in steps {
            let name = if own { "g1" } else { "g2" };
            prop_assert_eq!(tracker.check_end(name, offset), naive.check_end(own, offset.min(1_000)));
            prop_assert_eq!(tracker.accept(name, offset, len), naive.accept(own, offset, len));
        }
    }
}
