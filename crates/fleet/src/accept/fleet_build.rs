use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use base::{AdapterName, ByteCount, ByteRate, LabelSet, ParseError};
use schema::SettingMistake;
use schema::declaration::{
    DomainSection, ModelSection, NodeEntry, RolloutSection, RouteSection, ServiceSection,
    TargetSection, WorkspaceSection,
};
use smol_str::SmolStr;

use super::declaration_draft::DeclarationDraft;
use super::origin_index::{CrossProblem, OriginIndex};
use crate::{
    DeclaredDomain, DeclaredModel, DeclaredNode, DeclaredRollout, DeclaredRoute, DeclaredService,
    DeclaredTarget, DeclaredWorkspace, FleetDeclaration, TargetKind,
};

/// Builds the plain data of a checked draft.
///
/// Values whose form only this step knows, such as lists, are reported as mistakes.
pub fn build_fleet(
    draft: DeclarationDraft,
    origins: &OriginIndex,
) -> Result<FleetDeclaration, Vec<SettingMistake>> {
    let mut build = FleetBuild {
        origins,
        mistakes: Vec::new(),
    };
    let mut fleet = FleetDeclaration {
        weight_rate: ByteRate(draft.fleet.weight_rate.get()),
        domains: build.entries("domain", draft.domains, FleetBuild::domain),
        nodes: build.entries("node", draft.nodes, FleetBuild::node),
        targets: build.entries("target", draft.targets, FleetBuild::target),
        models: build.entries("model", draft.models, FleetBuild::model),
        services: build.entries("service", draft.services, FleetBuild::service),
        workspaces: build.entries("workspace", draft.workspaces, FleetBuild::workspace),
        routes: build.entries("route", draft.routes, FleetBuild::route),
        rollouts: build.entries("rollout", draft.rollouts, FleetBuild::rollout),
        warnings: Vec::new(),
        by_key: Vec::new(),
    };
    build.check_versions(&fleet);
    if !build.mistakes.is_empty() {
        build.mistakes.sort();
        return Err(build.mistakes);
    }
    fleet.by_key = (0..fleet.workspaces.len()).collect();
    let key_hash = |at: &usize| fleet.workspaces[*at].key_hash;
    fleet.by_key.sort_by_key(key_hash);
    fleet.warnings = find_warnings(&fleet);
    Ok(fleet)
}

struct FleetBuild<'a> {
    origins: &'a OriginIndex,
    mistakes: Vec<SettingMistake>,
}

type Built<T> = Result<T, CrossProblem>;

impl FleetBuild<'_> {
    fn entries<S, T>(
        &mut self,
        kind: &str,
        sections: BTreeMap<String, S>,
        build: fn(&str, S) -> Built<T>,
    ) -> Vec<T> {
        let mut entries = Vec::with_capacity(sections.len());
        for (name, section) in sections {
            match build(&name, section) {
                Ok(entry) => entries.push(entry),
                Err(problem) => {
                    let mistake = self.origins.mistake(kind, &name, problem);
                    self.mistakes.push(mistake);
                }
            }
        }
        entries
    }

    fn domain(name: &str, section: DomainSection) -> Built<DeclaredDomain> {
        Ok(DeclaredDomain {
            name: parse("name", name)?,
            region: SmolStr::new(section.region),
        })
    }

    fn node(name: &str, section: NodeEntry) -> Built<DeclaredNode> {
        Ok(DeclaredNode {
            name: parse("name", name)?,
            domain: section.domain,
            peer_address: parse_address("peer_address", &section.peer_address)?,
        })
    }

    fn target(name: &str, section: TargetSection) -> Built<DeclaredTarget> {
        let mut labels = section
            .labels
            .unwrap_or_default()
            .with_label("target", name)
            .with_label("kind", &section.kind.to_string())
            .with_label("domain", section.domain.as_str());
        if let Some(service) = &section.service {
            labels = labels.with_label("service", service.as_str());
        }
        Ok(DeclaredTarget {
            name: parse("name", name)?,
            kind: section.kind,
            domain: section.domain,
            address: parse_address("address", &section.address)?,
            labels,
            service: section.service,
            role: section.role,
            fencing: section.fencing,
        })
    }

    fn model(name: &str, section: ModelSection) -> Built<DeclaredModel> {
        Ok(DeclaredModel {
            name: parse("name", name)?,
            labels: section.labels.unwrap_or_default(),
            weight_bytes: ByteCount(section.weight_bytes.get()),
            repeatable: section.repeatable,
        })
    }

    fn service(name: &str, section: ServiceSection) -> Built<DeclaredService> {
        let mut repeatable = Vec::new();
        for method in list_items(&section.repeatable) {
            if !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                let found = format!("`{method}`");
                let allowed = "methods in capitals, separated by commas";
                return Err(CrossProblem::new("repeatable", found, allowed));
            }
            repeatable.push(SmolStr::new(method));
        }
        repeatable.sort_unstable();
        repeatable.dedup();
        Ok(DeclaredService {
            name: parse("name", name)?,
            repeatable,
            uncancellable: section.uncancellable,
        })
    }

    fn workspace(name: &str, section: WorkspaceSection) -> Built<DeclaredWorkspace> {
        Ok(DeclaredWorkspace {
            name: parse("name", name)?,
            key_hash: parse_hash(&section.key_sha256)?,
            labels: section.labels.unwrap_or_default(),
            weight: narrow("weight", section.weight.get())?,
            streams: narrow("streams", section.streams.get())?,
            queue: narrow("queue", section.queue)?,
        })
    }

    fn route(name: &str, section: RouteSection) -> Built<DeclaredRoute> {
        Ok(DeclaredRoute {
            name: SmolStr::new(name),
            requests: section.requests.unwrap_or_default(),
            targets: section.targets,
        })
    }

    fn rollout(name: &str, section: RolloutSection) -> Built<DeclaredRollout> {
        let items = list_items(&section.adapters);
        let mut adapters = items
            .map(|item| parse("adapters", item))
            .collect::<Built<Vec<AdapterName>>>()?;
        adapters.sort_unstable();
        adapters.dedup();
        Ok(DeclaredRollout {
            name: SmolStr::new(name),
            model: section.model,
            version: section.version,
            adapters,
            targets: section.targets,
            least_capacity: narrow("least_capacity", section.least_capacity)?,
            failure_limit: narrow("failure_limit", section.failure_limit.get())?,
        })
    }

    /// Two versions of a model on one engine would make its orders alternate.
    fn check_versions(&mut self, fleet: &FleetDeclaration) {
        for (at, rollout) in fleet.rollouts.iter().enumerate() {
            let rivals = fleet.rollouts[..at]
                .iter()
                .filter(|other| other.model == rollout.model && other.version != rollout.version);
            for rival in rivals {
                let shared = fleet.targets.iter().find(|target| {
                    target.kind == TargetKind::Engine
                        && rollout.targets.matches(&target.labels)
                        && rival.targets.matches(&target.labels)
                });
                let Some(target) = shared else {
                    continue;
                };
                let found = format!(
                    "[target {}], for which [rollout {}] wants version {}",
                    target.name, rival.name, rival.version
                );
                let allowed = "one version of a model on each engine";
                let problem = CrossProblem::new("targets", found, allowed);
                let mistake = self.origins.mistake("rollout", &rollout.name, problem);
                self.mistakes.push(mistake);
            }
        }
    }
}

fn parse<T: FromStr<Err = ParseError>>(key: &'static str, text: &str) -> Built<T> {
    let fail = |error: ParseError| CrossProblem::new(key, format!("`{text}`"), error.allowed);
    text.parse().map_err(fail)
}

fn parse_address(key: &'static str, text: &str) -> Built<SocketAddr> {
    let allowed = "an IP address with a port";
    let fail = |_| CrossProblem::new(key, format!("`{text}`"), allowed);
    text.parse().map_err(fail)
}

fn parse_hash(text: &str) -> Built<[u8; 32]> {
    let fail = |_| CrossProblem::new("key_sha256", "no hash", "64 hexadecimal digits");
    let hash = blake3::Hash::from_hex(text).map_err(fail)?;
    Ok(*hash.as_bytes())
}

fn narrow<T, N>(key: &'static str, number: N) -> Built<T>
where
    T: TryFrom<N>,
    N: Copy + Display,
{
    let fail = |_| CrossProblem::new(key, number.to_string(), "a smaller number");
    T::try_from(number).map_err(fail)
}

fn list_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

fn find_warnings(fleet: &FleetDeclaration) -> Vec<SmolStr> {
    let mut warnings = Vec::new();
    for route in &fleet.routes {
        if !selects_any(fleet, |labels| route.may_match(labels)) {
            let name = &route.name;
            warnings.push(SmolStr::new(format!("[route {name}] matches no target")));
        }
    }
    for rollout in &fleet.rollouts {
        if !selects_any(fleet, |labels| rollout.targets.matches(labels)) {
            let name = &rollout.name;
            warnings.push(SmolStr::new(format!("[rollout {name}] matches no target")));
        }
    }
    for domain in &fleet.domains {
        if !fleet.nodes.iter().any(|node| node.domain == domain.name) {
            let name = &domain.name;
            warnings.push(SmolStr::new(format!("[domain {name}] has no node")));
        }
    }
    warnings
}

fn selects_any(fleet: &FleetDeclaration, selects: impl Fn(&LabelSet) -> bool) -> bool {
    fleet.targets.iter().any(|target| selects(&target.labels))
}
