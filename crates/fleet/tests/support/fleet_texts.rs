use std::fmt::Write;

use fleet::KeyText;

/// Generator of valid declarations of a given size.
#[derive(Clone, Copy, Debug)]
pub struct FleetTexts {
    pub domains: usize,
    pub nodes: usize,
    pub targets: usize,
    pub workspaces: usize,
}

impl FleetTexts {
    /// Creates a generator with one target for each node and ten workspaces.
    pub fn small(domains: usize, nodes: usize) -> Self {
        Self {
            domains,
            nodes,
            targets: nodes,
            workspaces: 10,
        }
    }

    /// Returns the keys of the declaration; `change` sets a value in one short key.
    pub fn keys(&self, change: u64) -> Vec<KeyText> {
        let mut keys = vec![KeyText::new("changes.ini", self.change_text(change))];
        for domain in 0..self.domains {
            let text = self.domain_text(domain);
            keys.push(KeyText::new(format!("domain-{domain}.ini"), text));
        }
        keys.push(KeyText::new("workspaces.ini", self.workspace_text()));
        keys
    }

    /// Returns the same keys with a mistake that only the checks across sections find.
    pub fn invalid_keys(&self, change: u64) -> Vec<KeyText> {
        let mut keys = self.keys(change);
        let text = "[rollout broken]\nmodel = unknown\nversion = 1\ntargets = kind=engine\n";
        keys.push(KeyText::new("rollouts.ini", text));
        keys
    }

    fn change_text(&self, change: u64) -> String {
        format!("[fleet]\nweight_rate = {}\n", 1_000 + change)
    }

    fn domain_text(&self, domain: usize) -> String {
        let mut text = format!("[domain d{domain}]\nregion = r{}\n", domain / 3);
        for node in (domain..self.nodes).step_by(self.domains) {
            let address = format!("10.1.{}.{}:8082", node / 200, node % 200);
            let _ = writeln!(text, "[node n{node}]\ndomain = d{domain}");
            let _ = writeln!(text, "peer_address = {address}");
        }
        for target in (domain..self.targets).step_by(self.domains) {
            let address = format!("10.2.{}.{}:8000", target / 200, target % 200);
            let _ = writeln!(
                text,
                "[target e{target}]\nkind = engine\ndomain = d{domain}"
            );
            let _ = writeln!(text, "address = {address}\nlabels = pool=p{}", target % 8);
        }
        text
    }

    fn workspace_text(&self) -> String {
        let mut text = String::from("[route all]\ntargets = kind=engine\n");
        for workspace in 0..self.workspaces {
            let _ = writeln!(
                text,
                "[workspace w{workspace}]\nkey_sha256 = {workspace:064x}"
            );
        }
        text
    }
}
