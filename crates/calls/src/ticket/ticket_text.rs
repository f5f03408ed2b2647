use std::fmt;
use std::str::FromStr;

use base::{ClockTime, IncarnationNumber, ParseError, WorkspaceName};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use super::ticket_key::MAC_BYTES;
use crate::{OwnerId, TicketKey};

/// A ticket as a caller sends it: `IssuerNode.Incarnation.Sequence.Expiry.MAC`.
///
/// The expiry is on the issuer's own clock and is a hint for callers; whether a ticket is still
/// good is decided by the issuer's window alone. Parsing checks the form, `verify` the MAC.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{OwnerId, TicketKey, TicketText};
/// let key = TicketKey::new(b"secret");
/// let owner = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let workspace = "tarn".parse().unwrap();
/// let ticket = TicketText::new(&key, &workspace, owner, 3, ClockTime::new(60_000));
/// let read: TicketText = ticket.to_string().parse().unwrap();
/// assert!(read.verify(&key, &workspace));
/// assert!(!read.verify(&key, &"other".parse().unwrap()));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketText {
    /// The process that issued the ticket and alone may run it.
    pub owner: OwnerId,
    /// Number in the issuer's window.
    pub sequence: u64,
    /// When the issuer forgets the ticket, on the issuer's clock.
    pub expiry: ClockTime,
    mac: [u8; MAC_BYTES],
}

impl TicketText {
    /// Creates a signed ticket.
    pub fn new(
        key: &TicketKey,
        workspace: &WorkspaceName,
        owner: OwnerId,
        sequence: u64,
        expiry: ClockTime,
    ) -> Self {
        let mac = key.sign(workspace, &owner, sequence, expiry.as_millis());
        Self {
            owner,
            sequence,
            expiry,
            mac,
        }
    }

    /// Tells whether this system issued the ticket to `workspace`, in constant time.
    pub fn verify(&self, key: &TicketKey, workspace: &WorkspaceName) -> bool {
        let expiry = self.expiry.as_millis();
        let mac = key.sign(workspace, &self.owner, self.sequence, expiry);
        TicketKey::same(&mac, &self.mac)
    }
}

impl fmt::Display for TicketText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mac = URL_SAFE_NO_PAD.encode(self.mac);
        let expiry = self.expiry.as_millis();
        write!(f, "{}.{}.{expiry}.{mac}", self.owner, self.sequence)
    }
}

/// Parses a number in the only form in which it is written, without sign or leading zeros.
fn plain_number(text: &str) -> Option<u64> {
    let plain = text == "0" || (!text.starts_with('0') && !text.starts_with('+'));
    plain.then(|| text.parse().ok())?
}

fn parse_parts(text: &str) -> Option<TicketText> {
    // Node names may contain dots, so the parts are taken from the end.
    let mut parts = text.rsplitn(5, '.');
    let mac = URL_SAFE_NO_PAD.decode(parts.next()?).ok()?;
    let expiry = plain_number(parts.next()?)?;
    let sequence = plain_number(parts.next()?)?;
    let incarnation = plain_number(parts.next()?)?;
    let node = parts.next()?.parse().ok()?;
    Some(TicketText {
        owner: OwnerId::new(node, IncarnationNumber(incarnation)),
        sequence,
        expiry: ClockTime::new(expiry),
        mac: mac.try_into().ok()?,
    })
}

impl FromStr for TicketText {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let form = "NODE.INCARNATION.SEQUENCE.EXPIRY.MAC";
        parse_parts(text).ok_or_else(|| ParseError::new("ticket", text, form))
    }
}
