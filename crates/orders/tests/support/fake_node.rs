use base::{ClockTime, DomainName, IncarnationNumber, NodeName};
use orders::{BoardSettings, GuardSwitches, OrderBoard};

/// A node with its board.
pub struct FakeNode {
    pub name: NodeName,
    pub domain: DomainName,
    pub board: OrderBoard,
    pub guards: GuardSwitches,
    pub alive: bool,
    pub paused_until: ClockTime,
    /// Nodes of the same group reach each other.
    pub group: u8,
    /// Whether an order decided before a pause goes out without asking the board again.
    pub late_writes: bool,
    /// When each other node was last reached.
    pub reached: Vec<ClockTime>,
    pub run: u64,
    /// Position of the domain.
    pub place: usize,
}

impl FakeNode {
    pub fn new(
        name: NodeName,
        domain: DomainName,
        run: u64,
        guards: GuardSwitches,
        count: usize,
    ) -> Self {
        let board = Self::board(&name, &domain, run, guards, ClockTime::ZERO);
        Self {
            name,
            domain,
            board,
            guards,
            alive: true,
            paused_until: ClockTime::ZERO,
            group: 0,
            late_writes: false,
            reached: vec![ClockTime::ZERO; count],
            run,
            place: 0,
        }
    }

    pub fn board(
        name: &NodeName,
        domain: &DomainName,
        run: u64,
        guards: GuardSwitches,
        now: ClockTime,
    ) -> OrderBoard {
        let run = IncarnationNumber(run);
        let settings = BoardSettings::new(name.clone(), run, domain.clone());
        OrderBoard::new(settings.with_seed(run.0).with_guards(guards), now)
    }

    pub fn runs(&self, now: ClockTime) -> bool {
        self.alive && now >= self.paused_until
    }
}
