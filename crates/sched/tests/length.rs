//! Predictions of output lengths.

use sched::{CallKind, LengthCurve, LengthModel, bin_of, bin_start};

fn names() -> (base::WorkspaceName, base::ModelName) {
    ("w0".parse().unwrap(), "quill".parse().unwrap())
}

/// Guards against gaps or overlaps between bins.
#[test]
fn bins_cover_every_length_once() {
    for tokens in 0..200_000_u32 {
        let bin = bin_of(tokens);
        assert!(bin_start(bin) <= tokens);
        assert!(tokens >= 131_071 || tokens < bin_start(bin + 1));
    }
}

/// Guards against predictions on a cold start that are useless or exceed `max_tokens`.
#[test]
fn cold_start_is_bounded_by_max_tokens() {
    let (workspace, name) = names();
    let curve = LengthModel::new().curve(&workspace, Some(&name), CallKind::Chat, 131_071);
    assert_eq!(curve.quantile(0.99, 0, 50), 50);
    let mean = curve.mean_remaining(0, 50);
    assert!(mean > 10.0 && mean <= 50.0, "{mean}");
    assert_eq!(curve.mean_remaining(50, 50), 0.0);
    assert_eq!(curve.survival(10, 40, 50), 0.0);
}

/// Guards against a remaining length that ignores the tokens so far.
#[test]
fn remaining_length_depends_on_tokens_so_far() {
    let (workspace, name) = names();
    let mut model = LengthModel::new();
    for number in 0..600 {
        let tokens = if number % 2 == 0 { 30 } else { 2_000 };
        model.observe(&workspace, Some(&name), CallKind::Chat, 131_071, tokens);
    }
    let curve = model.curve(&workspace, Some(&name), CallKind::Chat, 131_071);
    let fresh = curve.mean_remaining(0, 131_071);
    let old = curve.mean_remaining(100, 131_071);
    assert!(old > 1.5 * fresh, "{old} {fresh}");
    assert!(curve.quantile(0.4, 0, 131_071) < 64);
    assert!(curve.quantile(0.5, 100, 131_071) > 1_500);
}

/// Guards against a new workspace that ignores what its model has shown.
#[test]
fn unknown_workspace_backs_off_to_model() {
    let (workspace, name) = names();
    let mut model = LengthModel::new();
    for _ in 0..500 {
        model.observe(&workspace, Some(&name), CallKind::Chat, 131_071, 20);
    }
    let other = "w9".parse().unwrap();
    let curve = model.curve(&other, Some(&name), CallKind::Chat, 131_071);
    assert!(curve.quantile(0.5, 0, 131_071) <= 24);
    let prior = LengthCurve::prior();
    assert!(curve.mean_remaining(0, 4_096) < prior.mean_remaining(0, 4_096) / 2.0);
}

/// Guards against old lengths that outweigh a lasting change.
#[test]
fn old_lengths_decay() {
    let (workspace, name) = names();
    let mut model = LengthModel::new();
    for number in 0..4_000 {
        let tokens = if number < 2_000 { 1_000 } else { 20 };
        model.observe(&workspace, Some(&name), CallKind::Chat, 131_071, tokens);
    }
    let curve = model.curve(&workspace, Some(&name), CallKind::Chat, 131_071);
    assert!(curve.at_least(900) < 0.1);
}

/// Guards against quantiles that are far off on a stable workload.
#[test]
fn calibration_matches_quantiles() {
    let (workspace, name) = names();
    let mut model = LengthModel::new();
    for number in 0..4_000_u64 {
        let share = (number * 7_919 % 1_000) as f64 / 1_000.0;
        let tokens = (20.0 * (1.0 / (1.0 - share)).powf(0.7)) as u32;
        model.observe(&workspace, Some(&name), CallKind::Chat, 131_071, tokens);
    }
    let calibration = model.calibration();
    assert_eq!(calibration.count(), 4_000);
    for (quantile, slack) in [(0.5, 0.06), (0.9, 0.04), (0.99, 0.02)] {
        let share = calibration.share_below(quantile);
        assert!((share - quantile).abs() < slack, "{quantile}: {share}");
    }
}
