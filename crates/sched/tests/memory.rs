//! Tests of the prediction of memory use from own streams, digests and late reports.

mod support;

use sched::{GrowthCurve, LengthDistribution, MemoryView, TargetDigest};
use support::{at, report, target};

fn stream(prompt: u32) -> GrowthCurve {
    GrowthCurve::for_stream(&LengthDistribution::prior(), prompt, 0, 400)
}

/// Guards against counting own streams twice: as own streams and as part of a late report.
#[test]
fn late_report_is_corrected_by_own_streams() {
    let mut view = MemoryView::default();
    let (first, second) = (stream(1_600), stream(800));
    view.add_stream(&first);
    view.mark_started(at(100), &first);
    view.add_stream(&second);
    view.mark_started(at(900), &second);
    view.apply_report(&report(0, at(500), 100));
    let own = first.peak_with(&second);
    assert_eq!(view.predicted_peak(&GrowthCurve::default(), 1.0), own);
}

/// Guards against ignoring sequences of other nodes that only a report shows.
#[test]
fn unattributed_part_of_a_report_belongs_to_others() {
    let mut view = MemoryView::default();
    let own = stream(1_600);
    view.add_stream(&own);
    view.mark_started(at(100), &own);
    view.apply_report(&report(0, at(500), 300));
    let expected = own.peak() + 2 * (300 * 16 - 1_600);
    assert_eq!(view.predicted_peak(&GrowthCurve::default(), 2.0), expected);
}

/// Guards against an older report that replaces a newer one.
#[test]
fn older_report_is_ignored() {
    let mut view = MemoryView::default();
    view.apply_report(&report(0, at(500), 300));
    view.apply_report(&report(0, at(400), 900));
    assert_eq!(view.predicted_peak(&GrowthCurve::default(), 1.0), 4_800);
}

/// Guards against counting streams of peers twice: by digest and as part of a report.
#[test]
fn digests_are_deducted_from_reports() {
    let mut view = MemoryView::default();
    let digest = TargetDigest {
        target: target(0),
        in_flight: 2,
        held_tokens: 3_200,
        peak_tokens: 4_000,
    };
    view.update_peer(at(100), None, Some(&digest));
    view.apply_report(&report(0, at(300), 200));
    assert_eq!(view.predicted_peak(&GrowthCurve::default(), 1.25), 4_000);
    view.update_peer(at(400), Some(&digest), None);
    assert_eq!(view.predicted_peak(&GrowthCurve::default(), 1.0), 0);
}

/// Guards against preemptions that are missed, or counted wrongly after a restart of the engine.
#[test]
fn preemptions_are_counted_between_reports() {
    let mut view = MemoryView::default();
    let mut figures = report(0, at(100), 10);
    figures.preemptions = 5;
    assert_eq!(view.apply_report(&figures), 0);
    (figures.measured_at, figures.preemptions) = (at(200), 8);
    assert_eq!(view.apply_report(&figures), 3);
    (figures.measured_at, figures.preemptions) = (at(300), 1);
    assert_eq!(view.apply_report(&figures), 0);
}
