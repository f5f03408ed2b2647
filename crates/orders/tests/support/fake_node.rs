use base::{ClockTime, DomainName, IncarnationNumber, NodeName};
use orders::{DomainReconciler, GuardSwitches, ReconcilerSettings};

/// A simulated node with its reconciler.
pub struct FakeNode {
    pub name: NodeName,
    pub domain: DomainName,
    pub reconciler: DomainReconciler,
    pub guards: GuardSwitches,
    pub alive: bool,
    pub paused_until: ClockTime,
    /// Only nodes of the same group reach each other.
    pub group: u8,
    /// Whether orders are sent without asking the reconciler again, even after a pause.
    pub skips_send_check: bool,
    /// When each node of the fleet was last reached.
    pub last_reached: Vec<ClockTime>,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Position of the domain in the declaration.
    pub domain_position: usize,
}

impl FakeNode {
    pub fn new(
        name: NodeName,
        domain: DomainName,
        incarnation: u64,
        guards: GuardSwitches,
        count: usize,
    ) -> Self {
        let reconciler = Self::reconciler(&name, &domain, incarnation, guards, ClockTime::ZERO);
        Self {
            name,
            domain,
            reconciler,
            guards,
            alive: true,
            paused_until: ClockTime::ZERO,
            group: 0,
            skips_send_check: false,
            last_reached: vec![ClockTime::ZERO; count],
            incarnation,
            domain_position: 0,
        }
    }

    pub fn reconciler(
        name: &NodeName,
        domain: &DomainName,
        incarnation: u64,
        guards: GuardSwitches,
        now: ClockTime,
    ) -> DomainReconciler {
        let incarnation = IncarnationNumber(incarnation);
        let settings = ReconcilerSettings::new(name.clone(), incarnation, domain.clone());
        DomainReconciler::new(settings.with_seed(incarnation.0).with_guards(guards), now)
    }

    pub fn runs(&self, now: ClockTime) -> bool {
        self.alive && now >= self.paused_until
    }
}
