use base::{DomainName, IncarnationNumber, NodeName};
use member::{MechanismSet, MemberMessage, MemberSettings, MemberTable};

/// One node of the fake network.
pub struct FakeNode {
    pub name: NodeName,
    pub domain: DomainName,
    pub table: Option<MemberTable>,
    pub paused: bool,
    pub runs: u64,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub received_bytes: u64,
    pub held: Vec<(usize, MemberMessage)>,
}

impl FakeNode {
    pub fn new(name: NodeName, domain: DomainName) -> Self {
        Self {
            name,
            domain,
            table: None,
            paused: false,
            runs: 0,
            sent_bytes: 0,
            sent_messages: 0,
            received_bytes: 0,
            held: Vec::new(),
        }
    }

    /// Starts the next run with an incarnation of realistic size.
    pub fn start(&mut self, millis: u64, seed: u64, mechanisms: MechanismSet) {
        self.runs += 1;
        self.paused = false;
        self.held.clear();
        let run = IncarnationNumber((1_700_000_000_000 + millis) << 20 | self.runs);
        let mut settings = MemberSettings::new(self.name.clone(), self.domain.clone(), run);
        settings.mechanisms = mechanisms;
        self.table = Some(MemberTable::new(settings, seed));
    }

    pub fn table(&self) -> &MemberTable {
        self.table.as_ref().expect("the node runs")
    }

    pub fn runs_freely(&self) -> bool {
        self.table.is_some() && !self.paused
    }
}
