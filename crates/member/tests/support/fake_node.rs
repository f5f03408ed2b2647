use base::{DomainName, IncarnationNumber, NodeName};
use member::{MemberMessage, MemberSettings, MemberTable, ProtocolFeatures};

/// One node of the simulated network, with its table and traffic counters.
pub struct FakeNode {
    pub name: NodeName,
    pub domain: DomainName,
    pub table: Option<MemberTable>,
    pub paused: bool,
    /// How often the node was started.
    pub runs: u64,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub received_bytes: u64,
    /// Sender and content of the messages that arrived during a pause.
    pub queued_while_paused: Vec<(usize, MemberMessage)>,
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
            queued_while_paused: Vec::new(),
        }
    }

    /// Starts a new run with an incarnation number of realistic size.
    pub fn start(&mut self, millis: u64, seed: u64, features: ProtocolFeatures) {
        self.runs += 1;
        self.paused = false;
        self.queued_while_paused.clear();
        let run = IncarnationNumber((1_700_000_000_000 + millis) << 20 | self.runs);
        let mut settings = MemberSettings::new(self.name.clone(), self.domain.clone(), run);
        settings.features = features;
        self.table = Some(MemberTable::new(settings, seed));
    }

    pub fn table(&self) -> &MemberTable {
        self.table.as_ref().expect("the node runs")
    }

    /// Whether the node runs and is not paused.
    pub fn is_active(&self) -> bool {
        self.table.is_some() && !self.paused
    }
}
