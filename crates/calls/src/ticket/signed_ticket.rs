use std::fmt;
use std::str::FromStr;

use base::{ClockTime, IncarnationNumber, ParseError, WorkspaceName};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use super::signing_key::MAC_BYTES;
use crate::{ProcessId, SigningKey};

/// A ticket with its MAC, written as `NODE.INCARNATION.SEQUENCE.EXPIRY.MAC` in requests.
///
/// The expiry is a hint for callers, in time of the issuer's clock; whether a ticket is still valid
/// is decided by the issuer's ticket window alone. Parsing checks only the syntax; `verify` checks
/// the MAC.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{ProcessId, SignedTicket, SigningKey};
/// let key = SigningKey::new(b"secret");
/// let owner = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let workspace = "tarn".parse().unwrap();
/// let ticket = SignedTicket::new(&key, &workspace, owner, 3, ClockTime::new(60_000));
/// let parsed: SignedTicket = ticket.to_string().parse().unwrap();
/// assert!(parsed.verify(&key, &workspace));
/// assert!(!parsed.verify(&key, &"other".parse().unwrap()));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedTicket {
    /// The process that issued the ticket. Only it may run the request, or the process that its
    /// window was handed over to.
    pub owner: ProcessId,
    /// Sequence number in the issuer's ticket window.
    pub sequence: u64,
    /// When the ticket expires, in time of the issuer's clock.
    pub expiry: ClockTime,
    mac: [u8; MAC_BYTES],
}

impl SignedTicket {
    /// Creates a ticket and signs it with `key`.
    pub fn new(
        key: &SigningKey,
        workspace: &WorkspaceName,
        owner: ProcessId,
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

    /// Checks in constant time that the ticket was signed with `key` for `workspace`.
    pub fn verify(&self, key: &SigningKey, workspace: &WorkspaceName) -> bool {
        let expiry = self.expiry.as_millis();
        let mac = key.sign(workspace, &self.owner, self.sequence, expiry);
        SigningKey::macs_equal(&mac, &self.mac)
    }
}

impl fmt::Display for SignedTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mac = URL_SAFE_NO_PAD.encode(self.mac);
        let expiry = self.expiry.as_millis();
        write!(f, "{}.{}.{expiry}.{mac}", self.owner, self.sequence)
    }
}

/// Parses a decimal number; refuses a sign and leading zeros, which tickets are never written with.
fn parse_canonical(text: &str) -> Option<u64> {
    let canonical = text == "0" || (!text.starts_with('0') && !text.starts_with('+'));
    canonical.then(|| text.parse().ok())?
}

fn parse_parts(text: &str) -> Option<SignedTicket> {
    // Node names may contain dots, so the text is split from its end.
    let mut parts = text.rsplitn(5, '.');
    let mac = URL_SAFE_NO_PAD.decode(parts.next()?).ok()?;
    let expiry = parse_canonical(parts.next()?)?;
    let sequence = parse_canonical(parts.next()?)?;
    let incarnation = parse_canonical(parts.next()?)?;
    let node = parts.next()?.parse().ok()?;
    Some(SignedTicket {
        owner: ProcessId::new(node, IncarnationNumber(incarnation)),
        sequence,
        expiry: ClockTime::new(expiry),
        mac: mac.try_into().ok()?,
    })
}

impl FromStr for SignedTicket {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let syntax = "NODE.INCARNATION.SEQUENCE.EXPIRY.MAC";
        parse_parts(text).ok_or_else(|| ParseError::new("ticket", text, syntax))
    }
}
