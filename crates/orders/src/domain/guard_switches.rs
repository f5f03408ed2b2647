/// Safety mechanisms, each of which a test can switch off to show what it prevents.
///
/// ```
/// let guards = orders::GuardSwitches::default();
/// assert!(guards.fencing && guards.majority_rule);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardSwitches {
    /// Orders carry rising fencing numbers.
    pub fencing: bool,
    /// A target is probed right before each order.
    pub reprobe: bool,
    /// After a pause no order is sent until the view of the domain has been refreshed.
    pub resume_rule: bool,
    /// No order reduces the serving targets below the declared minimum.
    pub capacity_rule: bool,
    /// A version that failed on too many targets is not loaded on others.
    pub halt_rule: bool,
    /// Permits are granted only where a majority of the domain's nodes is live.
    pub majority_rule: bool,
    /// Repeated orders are delayed by a back-off.
    pub backoff: bool,
}

impl Default for GuardSwitches {
    fn default() -> Self {
        Self {
            fencing: true,
            reprobe: true,
            resume_rule: true,
            capacity_rule: true,
            halt_rule: true,
            majority_rule: true,
            backoff: true,
        }
    }
}
