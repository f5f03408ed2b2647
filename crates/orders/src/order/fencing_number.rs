use std::fmt;
use std::str::FromStr;

use base::{IncarnationNumber, ParseError, RevisionNumber};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Digits of each of the four parts in the text form.
const PART_DIGITS: usize = 16;
/// Bytes of the text form: four parts and three dashes.
const TEXT_LENGTH: usize = 4 * PART_DIGITS + 3;

/// Fencing number of an order. A target with fencing refuses an order whose number is lower than
/// the highest it has seen.
///
/// The text form has a fixed width, so that comparing texts gives the same order as comparing
/// numbers.
///
/// ```
/// use base::{IncarnationNumber, RevisionNumber};
/// use orders::FencingNumber;
/// let old = FencingNumber::new(RevisionNumber::new(1, 9), 70, IncarnationNumber(3));
/// let new = FencingNumber::new(RevisionNumber::new(1, 10), 4, IncarnationNumber(2));
/// assert!(new > old);
/// assert!(new.to_string() > old.to_string());
/// assert_eq!(new.to_string().parse(), Ok(new));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct FencingNumber {
    /// Revision of the declaration that the order follows.
    pub revision: RevisionNumber,
    /// Logical time (Lamport, 1978): higher than in every number that the issuer has issued or
    /// seen.
    pub time: u64,
    /// Incarnation of the issuing node.
    pub incarnation: IncarnationNumber,
}

impl FencingNumber {
    /// Creates a number from its parts.
    pub fn new(revision: RevisionNumber, time: u64, incarnation: IncarnationNumber) -> Self {
        Self {
            revision,
            time,
            incarnation,
        }
    }
}

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RevisionNumber { epoch, index } = self.revision;
        let (time, run) = (self.time, self.incarnation.0);
        write!(f, "{epoch:016x}-{index:016x}-{time:016x}-{run:016x}")
    }
}

impl FromStr for FencingNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let fail = || ParseError::new("fencing number", text, "four parts of 16 hex digits");
        if text.len() != TEXT_LENGTH {
            return Err(fail());
        }
        let mut parts = text.split('-').map(parse_part);
        let mut next = || parts.next().flatten().ok_or_else(fail);
        let revision = RevisionNumber::new(next()?, next()?);
        Ok(Self::new(revision, next()?, IncarnationNumber(next()?)))
    }
}

/// Accepts only lower-case hex digits, since capitals would change the sort order of texts.
fn parse_part(text: &str) -> Option<u64> {
    let is_lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let is_valid = text.len() == PART_DIGITS && text.bytes().all(is_lower_hex);
    is_valid.then(|| u64::from_str_radix(text, 16).ok())?
}

impl TryFrom<SmolStr> for FencingNumber {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<FencingNumber> for SmolStr {
    fn from(number: FencingNumber) -> Self {
        SmolStr::new(number.to_string())
    }
}
