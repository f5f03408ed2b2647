/// Mechanisms that tests switch off to show what each of them prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSet {
    /// A silent node is suspected for a while before it is declared dead.
    pub suspicion: bool,
    /// A suspected node raises its version to contradict the suspicion.
    pub refutation: bool,
    /// Peers probe a silent node before it is suspected.
    pub indirect_probes: bool,
    /// A node that was paused or is slow gives others more time.
    pub local_health: bool,
    /// A stopping node tells its peers.
    pub leave_announcement: bool,
}

impl Default for MechanismSet {
    fn default() -> Self {
        Self {
            suspicion: true,
            refutation: true,
            indirect_probes: true,
            local_health: true,
            leave_announcement: true,
        }
    }
}
