use std::fmt;
use std::str::FromStr;

use base::TimeSpan;
use entry::ConfigVersion;
use http::Method;
use http::uri::PathAndQuery;
use snafu::Snafu;

/// Header of a forwarded call that holds its ticket.
pub const FORWARD_HEADER: &str = "agatemoor-forward";
/// Header of the response to a forwarded call: [`ANSWERED`], or the kind of the error for which the peer
/// refused it.
pub const OUTCOME_HEADER: &str = "agatemoor-outcome";
/// Outcome of a forwarded call whose response is a target's own.
pub const ANSWERED: &str = "answered";

/// The text is no ticket of a forwarded call.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("malformed ticket of a forwarded call"))]
pub struct TicketError;

/// What a peer has to know of a call that is forwarded to it, beside its headers and body.
///
/// ```
/// use gateway::ForwardTicket;
/// let text = "POST 812 40 0 recorded 7 /orders/1?wait=1";
/// let ticket: ForwardTicket = text.parse().unwrap();
/// assert_eq!(ticket.remaining.as_millis(), 812);
/// assert_eq!(ticket.to_string(), text);
/// assert!("POST 812 /orders/1".parse::<ForwardTicket>().is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTicket {
    /// Method of the call.
    pub method: Method,
    /// Time left until the call times out.
    pub remaining: TimeSpan,
    /// Time since the call arrived at the node that forwards it.
    pub waited: TimeSpan,
    /// Number of targets that may have run the call before.
    pub earlier_runs: u32,
    /// Whether the node that forwards the call has counted it for the retry budget.
    pub is_recorded: bool,
    /// Version of the configuration by which the call was admitted.
    pub version: ConfigVersion,
    /// Path and query of the call.
    pub target: PathAndQuery,
}

impl fmt::Display for ForwardTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let recorded = match self.is_recorded {
            true => "recorded",
            false => "new",
        };
        write!(
            f,
            "{} {} {} {} {recorded} {} {}",
            self.method,
            self.remaining.as_millis(),
            self.waited.as_millis(),
            self.earlier_runs,
            self.version,
            self.target
        )
    }
}

impl FromStr for ForwardTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let words: Vec<_> = text.split(' ').collect();
        let [method, remaining, waited, runs, recorded, version, target] = words[..] else {
            return Err(TicketError);
        };
        let millis = |text: &str| text.parse().map(TimeSpan::new).map_err(|_| TicketError);
        Ok(Self {
            method: method.parse().map_err(|_| TicketError)?,
            remaining: millis(remaining)?,
            waited: millis(waited)?,
            earlier_runs: runs.parse().map_err(|_| TicketError)?,
            is_recorded: match recorded {
                "recorded" => true,
                "new" => false,
                _ => return Err(TicketError),
            },
            version: version.parse().map_err(|_| TicketError)?,
            target: target.parse().map_err(|_| TicketError)?,
        })
    }
}
