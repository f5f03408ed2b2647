use base::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// Time during which the store answered one node or another, without an outage in between.
///
/// A failed request shows nothing about the store: only the path of one node may be broken. An
/// outage is a time in which no node is known to have had an answer.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::AnswerSpan;
/// let gap = TimeSpan::new(2_000);
/// let (first, second) = (ClockTime::new(1_000), ClockTime::new(2_500));
/// let span = AnswerSpan::at(first).merge(AnswerSpan::at(second), gap);
/// assert!(!span.follows_outage());
/// let later = span.merge(AnswerSpan::at(ClockTime::new(6_000)), gap);
/// assert!(later.follows_outage());
/// assert_eq!(later.since(), ClockTime::new(6_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSpan {
    since: ClockTime,
    until: ClockTime,
    /// Last known answer before the outage that the span follows, if it follows one.
    lost_at: Option<ClockTime>,
}

impl AnswerSpan {
    /// Creates the span of a single answer.
    pub fn at(time: ClockTime) -> Self {
        Self {
            since: time,
            until: time,
            lost_at: None,
        }
    }

    /// Creates the span of the first answer after an outage that began no later than `lost_at`.
    pub fn after_outage(time: ClockTime, lost_at: ClockTime) -> Self {
        Self {
            lost_at: Some(lost_at),
            ..Self::at(time)
        }
    }

    /// First known answer of the span.
    pub fn since(&self) -> ClockTime {
        self.since
    }

    /// Last known answer of the span.
    pub fn until(&self) -> ClockTime {
        self.until
    }

    /// Whether the store was away before the span.
    pub fn follows_outage(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Combines what two nodes know. Of spans that are `outage_gap` or more apart, the later one is left.
    ///
    /// The outage of one span is dropped if the other one has answers in it.
    #[must_use]
    pub fn merge(self, other: Self, outage_gap: TimeSpan) -> Self {
        let (earlier, later) = match self.since <= other.since {
            true => (self, other),
            false => (other, self),
        };
        let is_apart = later.since.since(earlier.until) >= outage_gap;
        let (since, lost_at) = match is_apart {
            true => (later.since, later.lost_at.max(Some(earlier.until))),
            false => (earlier.since, earlier.lost_at.max(later.lost_at)),
        };
        Self {
            since,
            until: earlier.until.max(later.until),
            lost_at: lost_at.filter(|lost_at| since.since(*lost_at) >= outage_gap),
        }
    }

    /// The span as ages at `now`, to be sent to a peer, whose clock differs.
    ///
    /// ```
    /// use base::ClockTime;
    /// use entry::AnswerSpan;
    /// let span = AnswerSpan::at(ClockTime::new(1_000));
    /// let report = span.report(ClockTime::new(1_200));
    /// assert_eq!(report.span(ClockTime::new(50_200)), AnswerSpan::at(ClockTime::new(50_000)));
    /// ```
    pub fn report(&self, now: ClockTime) -> AnswerReport {
        AnswerReport {
            since_age: now.since(self.since),
            until_age: now.since(self.until),
            lost_age: self.lost_at.map(|lost_at| now.since(lost_at)),
        }
    }
}

/// An [`AnswerSpan`] as ages, as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Time since the first answer of the span.
    #[serde(rename = "since")]
    pub since_age: TimeSpan,
    /// Time since its last answer.
    #[serde(rename = "until")]
    pub until_age: TimeSpan,
    /// Time since the last answer before the outage that the span follows, if it follows one.
    #[serde(rename = "lost")]
    pub lost_age: Option<TimeSpan>,
}

impl AnswerReport {
    /// Creates the report of one answer, `age` ago.
    pub fn of_answer(age: TimeSpan) -> Self {
        Self {
            since_age: age,
            until_age: age,
            lost_age: None,
        }
    }

    /// The span by the clock of this node, if the report was made at `now`.
    pub fn span(&self, now: ClockTime) -> AnswerSpan {
        AnswerSpan {
            since: now.saturating_sub(self.since_age),
            until: now.saturating_sub(self.until_age),
            lost_at: self.lost_age.map(|age| now.saturating_sub(age)),
        }
    }
}
