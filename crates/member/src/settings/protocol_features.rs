/// Parts of the protocol that tests switch off to show which fault each of them prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolFeatures {
    /// A node that does not answer is suspected for a while before it is declared dead.
    pub suspicion: bool,
    /// A suspected node refutes the suspicion by raising the version of its own record.
    pub refutation: bool,
    /// Peers probe a node that does not answer before it is suspected.
    pub indirect_probes: bool,
    /// A node that was paused or is slow waits longer before it suspects others.
    pub local_health: bool,
    /// A node that is being stopped announces it to its peers.
    pub leave_announcement: bool,
}

impl Default for ProtocolFeatures {
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
