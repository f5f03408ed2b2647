use base::ClockTime;
use snafu::Snafu;

use crate::{ProcessId, TicketWindow, WindowExport, WindowLimits};

/// Why an exported ticket window was not imported.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ImportError {
    /// The window was imported before.
    #[snafu(display("the window of {owner} was imported before"))]
    AlreadyImported {
        /// The process that issued the tickets.
        owner: ProcessId,
    },
    /// The export is for another process, possibly an earlier run of this node.
    #[snafu(display("the window is for {successor}"))]
    OtherSuccessor {
        /// The process that may import the window.
        successor: ProcessId,
    },
    /// As many windows were imported as this process may remember.
    #[snafu(display("{limit} windows were imported already"))]
    TooMany {
        /// Most windows that may be imported.
        limit: usize,
    },
    /// The export has more tickets than a window may hold.
    #[snafu(display("the window has {found} tickets, more than {limit}"))]
    TooLarge {
        /// Number of tickets in the export.
        found: usize,
        /// Most tickets that a window may hold.
        limit: usize,
    },
}

/// Ticket windows imported from processes that stopped.
///
/// A window stays listed after its last ticket expired. If it were removed, a late copy of its
/// export could be imported again, and tickets that have run would count as unused.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{ProcessId, TicketWindow, WindowImports, WindowLimits};
/// let now = ClockTime::ZERO;
/// let old = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let new = ProcessId::new("n2".parse().unwrap(), IncarnationNumber(8));
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
    local: ProcessId,
    limits: WindowLimits,
    window_limit: usize,
    /// Sorted by owner.
    windows: Vec<TicketWindow>,
}

impl WindowImports {
    /// Creates an empty list for the process `local` that holds at most `window_limit` windows.
    pub fn new(local: ProcessId, limits: WindowLimits, window_limit: usize) -> Self {
        Self {
            local,
            limits,
            window_limit,
            windows: Vec::new(),
        }
    }

    /// Imports a window, so that its tickets may run in this process.
    ///
    /// # Errors
    ///
    /// Fails if the export is for another process, was imported before or exceeds a limit.
    pub fn import(&mut self, now: ClockTime, export: WindowExport) -> Result<(), ImportError> {
        if export.successor != self.local {
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
        let window = TicketWindow::from_export(now, self.limits, export);
        self.windows.insert(at, window);
        Ok(())
    }

    /// The window of `owner`, if it was imported.
    pub fn get_mut(&mut self, owner: &ProcessId) -> Option<&mut TicketWindow> {
        let at = self.find(owner).ok()?;
        Some(&mut self.windows[at])
    }

    /// All imported windows, to seal them and hand them over when this process stops too.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut TicketWindow> {
        self.windows.iter_mut()
    }

    /// Forgets expired tickets in all windows.
    pub fn expire(&mut self, now: ClockTime) {
        self.windows
            .iter_mut()
            .for_each(|window| window.expire(now));
    }

    fn find(&self, owner: &ProcessId) -> Result<usize, usize> {
        self.windows
            .binary_search_by(|window| window.owner().cmp(owner))
    }
}
