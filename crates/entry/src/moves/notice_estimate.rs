use base::{ServiceName, TimeSpan};

/// Number of engines of a service whose notices are kept.
const KEPT_NOTICES: usize = 16;
/// Number of notices from which on an estimate is given.
const MIN_NOTICES: usize = 3;

/// Learns how long before their end engines announce that they leave, for each service.
///
/// Handles a few services; recording and estimating take time in proportion to the 16 notices kept
/// for each.
///
/// ```
/// use base::TimeSpan;
/// let mut notices = entry::NoticeEstimate::default();
/// let service = "pool".parse().unwrap();
/// for millis in [1_600, 2_000, 1_800] {
///     notices.record(&service, TimeSpan::new(millis));
/// }
/// assert_eq!(notices.longest(&service), Some(TimeSpan::new(2_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct NoticeEstimate {
    /// The latest notices of each service, oldest first.
    services: Vec<(ServiceName, Vec<TimeSpan>)>,
}

impl NoticeEstimate {
    /// Records the time from the notice of an engine to its end.
    pub fn record(&mut self, service: &ServiceName, notice: TimeSpan) {
        let found = self.services.iter().position(|(known, _)| known == service);
        let at = found.unwrap_or_else(|| {
            self.services.push((service.clone(), Vec::new()));
            self.services.len() - 1
        });
        let notices = &mut self.services[at].1;
        if notices.len() == KEPT_NOTICES {
            notices.remove(0);
        }
        notices.push(notice);
    }

    /// Longest notice that engines of a service gave lately; `None` if too few are known.
    ///
    /// The longest one, since a generation that is given up too early is lost, while a copy that is
    /// begun too late costs only time on the link.
    pub fn longest(&self, service: &ServiceName) -> Option<TimeSpan> {
        let (_, notices) = self.services.iter().find(|(known, _)| known == service)?;
        let is_enough = notices.len() >= MIN_NOTICES;
        notices.iter().copied().max().filter(|_| is_enough)
    }
}
