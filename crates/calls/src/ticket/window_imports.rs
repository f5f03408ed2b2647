use base::ClockTime;
use snafu::Snafu;

use crate::{OwnerId, TicketWindow, WindowExport, WindowLimits};

/// Why a window was not taken over.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ImportError {
    /// The window was taken over before.
    #[snafu(display("the window of {owner} was imported before"))]
    AlreadyImported {
        /// The process that issued the tickets.
        owner: OwnerId,
    },
    /// The export names another process, perhaps an earlier run of this node.
    #[snafu(display("the window is for {successor}"))]
    OtherSuccessor {
        /// The process that may import it.
        successor: OwnerId,
    },
    /// The process has taken over as many windows as it remembers.
    #[snafu(display("{limit} windows were imported already"))]
    TooMany {
        /// The bound.
        limit: usize,
    },
    /// The export is larger than a window may be.
    #[snafu(display("the window has {found} tickets, more than {limit}"))]
    TooLarge {
        /// Tickets in the export.
        found: usize,
        /// The bound.
        limit: usize,
    },
}

/// Windows taken over from stopped nodes.
///
/// A window stays listed after its last ticket expired: were it forgotten, a late copy of its
/// export would bring tickets back that have run.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{OwnerId, TicketWindow, WindowImports, WindowLimits};
/// let now = ClockTime::ZERO;
/// let old = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let new = OwnerId::new("n2".parse().unwrap(), IncarnationNumber(8));
/// let mut window = TicketWindow::new(old.clone(), WindowLimits::default());
/// window.seal();
/// let export = window.export(now, new.clone()).unwrap();
/// let mut imports = WindowImports::new(new, WindowLimits::default(), 100);
/// assert!(imports.import(now, export.clone()).is_ok());
/// assert!(imports.import(now, export).is_err());
/// assert!(imports.get_mut(&old).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct WindowImports {
    own: OwnerId,
    limits: WindowLimits,
    window_limit: usize,
    /// Sorted by owner.
    windows: Vec<TicketWindow>,
}

impl WindowImports {
    /// Creates an empty list of the process `own` for at most `window_limit` windows.
    pub fn new(own: OwnerId, limits: WindowLimits, window_limit: usize) -> Self {
        Self {
            own,
            limits,
            window_limit,
            windows: Vec::new(),
        }
    }

    /// Takes a window over.
    ///
    /// # Errors
    ///
    /// Fails if the export is for another process, was imported before or exceeds a bound.
    pub fn import(&mut self, now: ClockTime, export: WindowExport) -> Result<(), ImportError> {
        if export.successor != self.own {
            let successor = export.successor;
            return OtherSuccessorSnafu { successor }.fail();
        }
        let Err(at) = self.find(&export.owner) else {
            let owner = export.owner;
            return AlreadyImportedSnafu { owner }.fail();
        };
        let limit = self.window_limit;
        if self.windows.len() >= limit {
            return TooManySnafu { limit }.fail();
        }
        let (found, limit) = (export.entries.len(), self.limits.tickets);
        if found > limit {
            return TooLargeSnafu { found, limit }.fail();
        }
        let window = TicketWindow::with_export(now, self.limits, export);
        self.windows.insert(at, window);
        Ok(())
    }

    /// The window of `owner`, if it was taken over.
    pub fn get_mut(&mut self, owner: &OwnerId) -> Option<&mut TicketWindow> {
        let at = self.find(owner).ok()?;
        Some(&mut self.windows[at])
    }

    /// All windows, to seal and hand over when this process stops in its turn.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut TicketWindow> {
        self.windows.iter_mut()
    }

    /// Forgets expired tickets.
    pub fn expire(&mut self, now: ClockTime) {
        self.windows
            .iter_mut()
            .for_each(|window| window.expire(now));
    }

    fn find(&self, owner: &OwnerId) -> Result<usize, usize> {
        self.windows
            .binary_search_by(|window| window.owner().cmp(owner))
    }
}
