use base::{ClockTime, TimeSpan};

/// Time between two events up to which they count as read together.
const JOINT_READ_TIME: TimeSpan = TimeSpan::new(2);
/// Time after a late gap within which further late gaps of the stream belong to the same stretch;
/// a stream is late once, however many gaps of a stretch are.
const STRETCH_TIME: TimeSpan = TimeSpan::from_secs(1);

/// Measures the gaps between the events of one stream as its engine made them.
///
/// A gap is only reported once the next event has arrived: if that is read together with the event
/// that ended the gap, the node was late to read and the gap says nothing about the engine.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let mut meter = entry::GapMeter::default();
/// assert_eq!(meter.record_event(ClockTime::new(1_000)), None);
/// assert_eq!(meter.record_event(ClockTime::new(1_040)), None);
/// assert_eq!(meter.record_event(ClockTime::new(1_080)), Some(TimeSpan::new(40)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct GapMeter {
    last_event_at: Option<ClockTime>,
    /// Gap before the last event.
    pending: Option<TimeSpan>,
    last_late_at: Option<ClockTime>,
}

impl GapMeter {
    /// Records an event; returns the gap before the previous event, if it is the engine's.
    pub fn record_event(&mut self, now: ClockTime) -> Option<TimeSpan> {
        let last = self.last_event_at.replace(now)?;
        let gap = now.since(last);
        if gap <= JOINT_READ_TIME {
            self.pending = None;
            return None;
        }
        self.pending.replace(gap)
    }

    /// Forgets the last event, as the time until the next one isn't the engine's: the generation
    /// moves, or the caller does not read. Returns the last whole gap.
    pub fn interrupt(&mut self) -> Option<TimeSpan> {
        self.last_event_at = None;
        self.pending.take()
    }

    /// Whether a gap is over the limit and the first of a stretch of such gaps.
    pub fn begins_late_stretch(&mut self, now: ClockTime, gap: TimeSpan, limit: TimeSpan) -> bool {
        if gap <= limit {
            return false;
        }
        let last = self.last_late_at.replace(now);
        last.is_none_or(|last| now.since(last) > STRETCH_TIME)
    }
}
