//! Tests of the prediction of output lengths.

use sched::{CallKind, LengthDistribution, LengthPredictor, bin_index, bin_start};

fn names() -> (base::WorkspaceName, base::ModelName) {
    ("w0".parse().unwrap(), "quill".parse().unwrap())
}

/// Guards against gaps or overlaps between bins.
#[test]
fn bins_cover_every_length_once() {
    for tokens in 0..200_000_u32 {
        let bin = bin_index(tokens);
        assert!(bin_start(bin) <= tokens);
        assert!(tokens >= 131_071 || tokens < bin_start(bin + 1));
    }
}

/// Guards against predictions on a cold start that are useless or exceed `max_tokens`.
#[test]
fn cold_start_is_bounded_by_max_tokens() {
    let (workspace, name) = names();
    let distribution =
        LengthPredictor::new().distribution(&workspace, Some(&name), CallKind::Chat, 131_071);
    assert_eq!(distribution.quantile(0.99, 0, 50), 50);
    let mean = distribution.mean_remaining(0, 50);
    assert!(mean > 10.0 && mean <= 50.0, "{mean}");
    assert_eq!(distribution.mean_remaining(50, 50), 0.0);
    assert_eq!(distribution.survival(10, 40, 50), 0.0);
}

/// Guards against a predicted remaining length that ignores the tokens produced so far.
#[test]
fn remaining_length_depends_on_tokens_so_far() {
    let (workspace, name) = names();
    let mut predictor = LengthPredictor::new();
    for number in 0..600 {
        let tokens = if number % 2 == 0 { 30 } else { 2_000 };
        predictor.observe(&workspace, Some(&name), CallKind::Chat, 131_071, tokens);
    }
    let distribution = predictor.distribution(&workspace, Some(&name), CallKind::Chat, 131_071);
    let fresh = distribution.mean_remaining(0, 131_071);
    let old = distribution.mean_remaining(100, 131_071);
    assert!(old > 1.5 * fresh, "{old} {fresh}");
    assert!(distribution.quantile(0.4, 0, 131_071) < 64);
    assert!(distribution.quantile(0.5, 100, 131_071) > 1_500);
}

/// Guards against predictions for a new workspace that ignore the outputs of the same model.
#[test]
fn unknown_workspace_backs_off_to_model() {
    let (workspace, name) = names();
    let mut predictor = LengthPredictor::new();
    for _ in 0..500 {
        predictor.observe(&workspace, Some(&name), CallKind::Chat, 131_071, 20);
    }
    let other = "w9".parse().unwrap();
    let distribution = predictor.distribution(&other, Some(&name), CallKind::Chat, 131_071);
    assert!(distribution.quantile(0.5, 0, 131_071) <= 24);
    let prior = LengthDistribution::prior();
    assert!(distribution.mean_remaining(0, 4_096) < prior.mean_remaining(0, 4_096) / 2.0);
}

/// Guards against old lengths that outweigh a lasting change of the workload.
#[test]
fn old_lengths_decay() {
    let (workspace, name) = names();
    let mut predictor = LengthPredictor::new();
    for number in 0..4_000 {
        let tokens = if number < 2_000 { 1_000 } else { 20 };
        predictor.observe(&workspace, Some(&name), CallKind::Chat, 131_071, tokens);
    }
    let distribution = predictor.distribution(&workspace, Some(&name), CallKind::Chat, 131_071);
    assert!(distribution.at_least(900) < 0.1);
}

/// Guards against quantiles that are far off on a stable workload.
#[test]
fn calibration_matches_quantiles() {
    let (workspace, name) = names();
    let mut predictor = LengthPredictor::new();
    for number in 0..4_000_u64 {
        let share = (number * 7_919 % 1_000) as f64 / 1_000.0;
        let tokens = (20.0 * (1.0 / (1.0 - share)).powf(0.7)) as u32;
        predictor.observe(&workspace, Some(&name), CallKind::Chat, 131_071, tokens);
    }
    let calibration = predictor.calibration();
    assert_eq!(calibration.count(), 4_000);
    for (quantile, slack) in [(0.5, 0.06), (0.9, 0.04), (0.99, 0.02)] {
        let share = calibration.coverage(quantile);
        assert!((share - quantile).abs() < slack, "{quantile}: {share}");
    }
}
