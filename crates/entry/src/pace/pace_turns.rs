use std::net::SocketAddr;

use base::{ClockTime, TargetName, TimeSpan};

use super::DomainPace;

/// Shortest time between two reports of paces to one receiver.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Receivers that are remembered: two coordinators each of eight domains.
const KEPT_RECEIVERS: usize = 16;

/// Decides which paces of engines a coordinator sends to which receiver in other failure domains.
/// With more engines than fit into one report, each is reported in turn.
#[derive(Clone, Debug, Default)]
pub struct PaceTurns {
    /// Receiver, when it was sent a report, and the last engine in that.
    receivers: Vec<(SocketAddr, ClockTime, Option<TargetName>)>,
}

impl PaceTurns {
    /// Largest number of paces in one report: with two receivers in each of three domains and 25
    /// bytes a pace, these take 350 bytes a second.
    pub const REPORTED_PACES: usize = 2;

    /// Paces for a receiver, of those in `paces`, which are sorted by target; none within a second
    /// of its last ones.
    ///
    /// ```
    /// use base::ClockTime;
    /// use entry::{DomainPace, PaceTurns, TargetPace};
    /// let run = base::IncarnationNumber(1);
    /// let pace = DomainPace::new(&"e1".parse().unwrap(), run, TargetPace::default());
    /// let receiver = "127.0.0.1:9".parse().unwrap();
    /// let mut turns = PaceTurns::default();
    /// let now = ClockTime::new(5_000);
    /// assert_eq!(turns.take(now, receiver, vec![pace.clone()]).len(), 1);
    /// assert_eq!(turns.take(now, receiver, vec![pace]).len(), 0);
    /// ```
    pub fn take(
        &mut self,
        now: ClockTime,
        receiver: SocketAddr,
        mut paces: Vec<DomainPace>,
    ) -> Vec<DomainPace> {
        if paces.is_empty() {
            return paces;
        }
        let at = self.receivers.iter().position(|one| one.0 == receiver);
        let is_due = at.is_none_or(|at| now.since(self.receivers[at].1) >= REPORT_INTERVAL);
        if !is_due {
            return Vec::new();
        }
        let last = at.and_then(|at| self.receivers.remove(at).2);
        let first = last.map_or(0, |last| paces.partition_point(|one| one.target <= last));
        let count = paces.len();
        paces.rotate_left(first % count);
        paces.truncate(Self::REPORTED_PACES);
        if self.receivers.len() >= KEPT_RECEIVERS {
            self.receivers.remove(0);
        }
        let last = paces.last().map(|one| one.target.clone());
        self.receivers.push((receiver, now, last));
        paces
    }
}
