use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use base::{AdapterName, ByteCount, ByteRate, LabelSet, ParseError};
use schema::SettingError;
use schema::declaration::{
    DomainSection, ModelSection, NodeEntry, RolloutSection, RouteSection, ServiceSection,
    TargetSection, WorkspaceSection,
};
use smol_str::SmolStr;

use super::declaration_draft::DeclarationDraft;
use super::origin_index::{OriginIndex, SectionProblem};
use crate::{
    DeclaredDomain, DeclaredModel, DeclaredNode, DeclaredRollout, DeclaredRoute, DeclaredService,
    DeclaredTarget, DeclaredWorkspace, FleetDeclaration, TargetKind,
};

/// Builds the declaration from a draft that has passed the checks across sections.
///
/// Values that are parsed only here, such as lists and addresses, are reported as mistakes if they
/// are malformed.
pub fn build_fleet(
    draft: DeclarationDraft,
    origins: &OriginIndex,
) -> Result<FleetDeclaration, Vec<SettingError>> {
    let mut builder = FleetBuilder {
        origins,
        mistakes: Vec::new(),
    };
    let mut fleet = FleetDeclaration {
        weight_rate: ByteRate(draft.fleet.weight_rate.get()),
        domains: builder.entries("domain", draft.domains, FleetBuilder::domain),
        nodes: builder.entries("node", draft.nodes, FleetBuilder::node),
        targets: builder.entries("target", draft.targets, FleetBuilder::target),
        models: builder.entries("model", draft.models, FleetBuilder::model),
        services: builder.entries("service", draft.services, FleetBuilder::service),
        workspaces: builder.entries("workspace", draft.workspaces, FleetBuilder::workspace),
        routes: builder.entries("route", draft.routes, FleetBuilder::route),
        rollouts: builder.entries("rollout", draft.rollouts, FleetBuilder::rollout),
        warnings: Vec::new(),
        by_key_hash: Vec::new(),
    };
    builder.check_versions(&fleet);
    if !builder.mistakes.is_empty() {
        builder.mistakes.sort();
        return Err(builder.mistakes);
    }
    fleet.by_key_hash = (0..fleet.workspaces.len()).collect();
    let key_hash = |at: &usize| fleet.workspaces[*at].key_hash;
    fleet.by_key_hash.sort_by_key(key_hash);
    fleet.warnings = find_warnings(&fleet);
    Ok(fleet)
}

/// Converts the sections of a draft and collects the mistakes in them.
struct FleetBuilder<'a> {
    origins: &'a OriginIndex,
    mistakes: Vec<SettingError>,
}

type BuildResult<T> = Result<T, SectionProblem>;

impl FleetBuilder<'_> {
    fn entries<S, T>(
        &mut self,
        kind: &str,
        sections: BTreeMap<String, S>,
        build: fn(&str, S) -> BuildResult<T>,
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

    fn domain(name: &str, section: DomainSection) -> BuildResult<DeclaredDomain> {
        Ok(DeclaredDomain {
            name: parse("name", name)?,
            region: SmolStr::new(section.region),
        })
    }

    fn node(name: &str, section: NodeEntry) -> BuildResult<DeclaredNode> {
        Ok(DeclaredNode {
            name: parse("name", name)?,
            domain: section.domain,
            peer_address: parse_address("peer_address", &section.peer_address)?,
        })
    }

    fn target(name: &str, section: TargetSection) -> BuildResult<DeclaredTarget> {
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

    fn model(name: &str, section: ModelSection) -> BuildResult<DeclaredModel> {
        Ok(DeclaredModel {
            name: parse("name", name)?,
            labels: section.labels.unwrap_or_default(),
            weight_bytes: ByteCount(section.weight_bytes.get()),
            repeatable: section.repeatable,
        })
    }

    fn service(name: &str, section: ServiceSection) -> BuildResult<DeclaredService> {
        let mut repeatable = Vec::new();
        for method in list_items(&section.repeatable) {
            if !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                let found = format!("`{method}`");
                let allowed = "methods in capitals, separated by commas";
                return Err(SectionProblem::new("repeatable", found, allowed));
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

    fn workspace(name: &str, section: WorkspaceSection) -> BuildResult<DeclaredWorkspace> {
        Ok(DeclaredWorkspace {
            name: parse("name", name)?,
            key_hash: parse_hash(&section.key_sha256)?,
            labels: section.labels.unwrap_or_default(),
            weight: narrow("weight", section.weight.get())?,
            streams: narrow("streams", section.streams.get())?,
            queue: narrow("queue", section.queue)?,
        })
    }

    fn route(name: &str, section: RouteSection) -> BuildResult<DeclaredRoute> {
        Ok(DeclaredRoute {
            name: SmolStr::new(name),
            requests: section.requests.unwrap_or_default(),
            targets: section.targets,
        })
    }

    fn rollout(name: &str, section: RolloutSection) -> BuildResult<DeclaredRollout> {
        let items = list_items(&section.adapters);
        let mut adapters = items
            .map(|item| parse("adapters", item))
            .collect::<BuildResult<Vec<AdapterName>>>()?;
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

    /// Reports rollouts that want two versions of one model on the same engine, which would make
    /// the orders for that engine alternate between the versions.
    fn check_versions(&mut self, fleet: &FleetDeclaration) {
        for (at, rollout) in fleet.rollouts.iter().enumerate() {
            let conflicting = fleet.rollouts[..at]
                .iter()
                .filter(|other| other.model == rollout.model && other.version != rollout.version);
            for other in conflicting {
                let shared = fleet.targets.iter().find(|target| {
                    target.kind == TargetKind::Engine
                        && rollout.targets.matches(&target.labels)
                        && other.targets.matches(&target.labels)
                });
                let Some(target) = shared else {
                    continue;
                };
                let found = format!(
                    "[target {}], for which [rollout {}] wants version {}",
                    target.name, other.name, other.version
                );
                let allowed = "one version of a model on each engine";
                let problem = SectionProblem::new("targets", found, allowed);
                let mistake = self.origins.mistake("rollout", &rollout.name, problem);
                self.mistakes.push(mistake);
            }
        }
    }
}

fn parse<T: FromStr<Err = ParseError>>(key: &'static str, text: &str) -> BuildResult<T> {
    let fail = |error: ParseError| SectionProblem::new(key, format!("`{text}`"), error.allowed);
    text.parse().map_err(fail)
}

fn parse_address(key: &'static str, text: &str) -> BuildResult<SocketAddr> {
    let allowed = "an IP address with a port";
    let fail = |_| SectionProblem::new(key, format!("`{text}`"), allowed);
    text.parse().map_err(fail)
}

fn parse_hash(text: &str) -> BuildResult<[u8; 32]> {
    let fail = |_| SectionProblem::new("key_sha256", "no hash", "64 hexadecimal digits");
    let hash = blake3::Hash::from_hex(text).map_err(fail)?;
    Ok(*hash.as_bytes())
}

fn narrow<T, N>(key: &'static str, number: N) -> BuildResult<T>
where
    T: TryFrom<N>,
    N: Copy + Display,
{
    let fail = |_| SectionProblem::new(key, number.to_string(), "a smaller number");
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
