//! A proptest configuration whose verdict is the same in every run.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Runs `cases` cases from a fixed seed and writes no file.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_260),
        ..Config::default()
    }
}
