/// Mechanisms that tests switch off to show what each of them prevents.
///
/// ```
/// let guards = orders::GuardSwitches::default();
/// assert!(guards.fencing && guards.majority_rule);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardSwitches {
    /// Orders carry rising fencing numbers.
    pub fencing: bool,
    /// A target is probed right before an order.
    pub reread: bool,
    /// No order follows a pause before a fresh view.
    pub resume_rule: bool,
    /// Capacity is not taken away below the declared minimum.
    pub capacity_rule: bool,
    /// A version that failed on too many targets is not loaded on others.
    pub halt_rule: bool,
    /// Slots are granted only on the side of the majority of the domain's nodes.
    pub majority_rule: bool,
    /// Repeated orders wait.
    pub backoff: bool,
}

impl Default for GuardSwitches {
    fn default() -> Self {
        Self {
            fencing: true,
            reread: true,
            resume_rule: true,
            capacity_rule: true,
            halt_rule: true,
            majority_rule: true,
            backoff: true,
        }
    }
}
