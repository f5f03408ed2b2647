use base::{ClockTime, TimeSpan, WorkspaceName};

use crate::{SignedTicket, SigningKey, TicketWindow};

/// Issues signed tickets with sequence numbers from this process's ticket window.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TimeSpan};
/// use calls::{ProcessId, SigningKey, TicketIssuer, TicketWindow, WindowLimits};
/// let owner = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let mut window = TicketWindow::new(owner, WindowLimits::default());
/// let issuer = TicketIssuer::new(SigningKey::new(b"secret"), TimeSpan::from_secs(3_600));
/// let ticket = issuer.issue(&mut window, ClockTime::ZERO, &"tarn".parse().unwrap()).unwrap();
/// assert!(ticket.to_string().starts_with("n1.7.0.3600000."));
/// ```
#[derive(Clone, Debug)]
pub struct TicketIssuer {
    key: SigningKey,
    lifetime: TimeSpan,
}

impl TicketIssuer {
    /// Creates an issuer of tickets that are valid for `lifetime`.
    pub fn new(key: SigningKey, lifetime: TimeSpan) -> Self {
        Self { key, lifetime }
    }

    /// Issues a ticket; `None` if the window is full or sealed.
    pub fn issue(
        &self,
        window: &mut TicketWindow,
        now: ClockTime,
        workspace: &WorkspaceName,
    ) -> Option<SignedTicket> {
        let expiry = now + self.lifetime;
        let sequence = window.allocate(now, expiry)?;
        let owner = window.owner().clone();
        Some(SignedTicket::new(
            &self.key, workspace, owner, sequence, expiry,
        ))
    }
}
