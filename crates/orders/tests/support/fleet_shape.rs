use std::fmt::Write;

use fleet::{FleetDeclaration, KeySet, KeyText, make_head, validate_set};

/// Parameters of a declaration of equal domains with one model.
#[derive(Clone)]
pub struct FleetShape {
    pub domains: usize,
    /// Nodes of each domain.
    pub nodes: usize,
    /// Targets of each domain.
    pub targets: usize,
    /// Version to roll out; no rollout is declared if it is empty.
    pub version: &'static str,
    pub adapters: &'static str,
    pub role: Option<&'static str>,
    /// Minimum capacity of the rollout in percent.
    pub least_capacity: u8,
    pub failure_limit: u32,
    /// Weight rate of the fleet in bytes per second.
    pub rate: u64,
    /// Size of the weights in bytes.
    pub bytes: u64,
    pub fencing: bool,
    /// Further sections of the declaration.
    pub extra: String,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            domains: 1,
            nodes: 3,
            targets: 6,
            version: "2",
            adapters: "",
            role: None,
            least_capacity: 50,
            failure_limit: 2,
            rate: 8_000,
            bytes: 4_000,
            fencing: true,
            extra: String::new(),
        }
    }
}

impl FleetShape {
    /// The same shape with another version to roll out.
    pub fn version(&self, version: &'static str) -> Self {
        Self {
            version,
            ..self.clone()
        }
    }

    /// The accepted declaration.
    pub fn declare(&self) -> FleetDeclaration {
        let mut text = format!("[fleet]\nweight_rate = {}\n[model quill]\n", self.rate);
        writeln!(text, "weight_bytes = {}", self.bytes).unwrap();
        for domain in 0..self.domains {
            writeln!(text, "[domain d{domain}]").unwrap();
            for node in 0..self.nodes {
                let port = 1 + domain * self.nodes + node;
                writeln!(text, "[node d{domain}-n{node}]\ndomain = d{domain}").unwrap();
                writeln!(text, "peer_address = 192.0.2.1:{port}").unwrap();
            }
            for target in 0..self.targets {
                let port = 1 + domain * self.targets + target;
                writeln!(text, "[target d{domain}-e{target:03}]\nkind = engine").unwrap();
                writeln!(text, "domain = d{domain}\naddress = 192.0.2.2:{port}").unwrap();
                let pool = if target % 2 == 0 { "even" } else { "odd" };
                writeln!(text, "fencing = {}\nlabels = pool={pool}", self.fencing).unwrap();
                if let Some(role) = self.role {
                    writeln!(text, "role = {role}").unwrap();
                }
            }
        }
        if !self.version.is_empty() {
            writeln!(text, "[rollout quill]\nmodel = quill").unwrap();
            writeln!(text, "version = {}\ntargets = kind=engine", self.version).unwrap();
            writeln!(text, "adapters = {}", self.adapters).unwrap();
            writeln!(text, "least_capacity = {}", self.least_capacity).unwrap();
            writeln!(text, "failure_limit = {}", self.failure_limit).unwrap();
        }
        text.push_str(&self.extra);
        let keys = vec![KeyText::new("fleet.ini", text)];
        validate_set(&KeySet::new(make_head(1, &keys), keys)).unwrap()
    }
}
