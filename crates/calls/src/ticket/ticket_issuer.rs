use base::{ClockTime, TimeSpan, WorkspaceName};

use crate::{TicketKey, TicketText, TicketWindow};

/// Issues tickets of the own window.
///
/// ```
/// use base::{ClockTime, IncarnationNumber, TimeSpan};
/// use calls::{OwnerId, TicketIssuer, TicketKey, TicketWindow, WindowLimits};
/// let owner = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let mut window = TicketWindow::new(owner, WindowLimits::default());
/// let issuer = TicketIssuer::new(TicketKey::new(b"secret"), TimeSpan::from_secs(3_600));
/// let ticket = issuer.issue(&mut window, ClockTime::ZERO, &"tarn".parse().unwrap()).unwrap();
/// assert!(ticket.to_string().starts_with("n1.7.0.3600000."));
/// ```
#[derive(Clone, Debug)]
pub struct TicketIssuer {
    key: TicketKey,
    lifetime: TimeSpan,
}

impl TicketIssuer {
    /// Creates an issuer of tickets that last for `lifetime`.
    pub fn new(key: TicketKey, lifetime: TimeSpan) -> Self {
        Self { key, lifetime }
    }

    /// Issues a ticket; `None` if the window is full or sealed.
    pub fn issue(
        &self,
        window: &mut TicketWindow,
        now: ClockTime,
        workspace: &WorkspaceName,
    ) -> Option<TicketText> {
        let expiry = now + self.lifetime;
        let sequence = window.open(now, expiry)?;
        let owner = window.owner().clone();
        Some(TicketText::new(
            &self.key, workspace, owner, sequence, expiry,
        ))
    }
}
