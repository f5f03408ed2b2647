use base::{ClockTime, TimeSpan};

use super::ConfigVersion;

/// Time after which a configuration that peers have and this node lacks is reported.
const REPORT_AGE: TimeSpan = TimeSpan::from_secs(1);

/// How long a node has lacked a configuration that peers have in force.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{ConfigLag, ConfigVersion};
/// let mut lag = ConfigLag::default();
/// lag.record_peer(ClockTime::new(100), ConfigVersion(5), ConfigVersion(7));
/// let expected = (ConfigVersion(7), TimeSpan::new(50));
/// assert_eq!(lag.lag(ClockTime::new(150), ConfigVersion(5)), Some(expected));
/// assert_eq!(lag.lag(ClockTime::new(150), ConfigVersion(7)), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigLag {
    newest: ConfigVersion,
    /// When a version newer than the one in force became known.
    since: ClockTime,
    is_reported: bool,
}

impl ConfigLag {
    /// Newest version that a peer was heard to have in force.
    pub fn newest(&self) -> ConfigVersion {
        self.newest
    }

    /// Records the version that a peer has in force, beside the one in force here.
    pub fn record_peer(&mut self, now: ClockTime, own: ConfigVersion, peer: ConfigVersion) {
        if own >= self.newest && peer > own {
            self.since = now;
            self.is_reported = false;
        }
        self.newest = self.newest.max(peer);
    }

    /// The newest known version and the time for which this node has lacked one newer than `own`; `None`
    /// if it lacks none.
    pub fn lag(&self, now: ClockTime, own: ConfigVersion) -> Option<(ConfigVersion, TimeSpan)> {
        (self.newest > own).then(|| (self.newest, now.since(self.since)))
    }

    /// Like [`Self::lag`], but only once for each time of more than a second without the version.
    pub fn take_report(
        &mut self,
        now: ClockTime,
        own: ConfigVersion,
    ) -> Option<(ConfigVersion, TimeSpan)> {
        let lag = self.lag(now, own).filter(|(_, age)| *age > REPORT_AGE)?;
        (!std::mem::replace(&mut self.is_reported, true)).then_some(lag)
    }
}
