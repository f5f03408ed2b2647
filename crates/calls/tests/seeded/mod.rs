//! A proptest configuration that generates the same cases in every run.

use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

/// Configuration that runs `cases` cases from a fixed seed and stores no failing cases in files.
pub fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_260),
        ..Config::default()
    }
}
