use base::WorkspaceName;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{CallClass, CallSpec};

/// Shares of the ten workspaces; three of them make up 70% of the calls.
const WORKSPACE_SHARES: [f64; 10] = [0.34, 0.22, 0.14, 0.08, 0.06, 0.05, 0.04, 0.04, 0.02, 0.01];
/// Factor of each workspace on the output lengths of a class.
const LENGTH_FACTORS: [f64; 10] = [0.8, 1.6, 0.6, 1.0, 2.0, 0.5, 1.2, 0.9, 1.5, 1.0];
/// Lengths of the shared prefixes of a workspace in tokens.
const SHARED_PREFIX_TOKENS: [u32; 4] = [256, 512, 1_024, 768];
/// Number of draws from which the mean output length is estimated.
const MEAN_DRAWS: usize = 200_000;

/// A workspace and its share of the calls of a mix.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceShare {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Share of all calls.
    pub share: f64,
    /// Factor on the output lengths of classes that are scaled by workspace.
    pub length_factor: f64,
}

/// Classes of calls, workspaces and shared prefixes of a deployment.
///
/// ```
/// let mix = load::WorkloadKind::Kanchan.mix();
/// let calls = mix.draw_calls(5.0, 60.0, 1);
/// assert_eq!(calls, mix.draw_calls(5.0, 60.0, 1));
/// assert!(calls.is_sorted_by_key(|call| call.arrival));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadMix {
    /// Classes; their shares add up to one.
    pub classes: Vec<CallClass>,
    /// Workspaces; their shares add up to one.
    pub workspaces: Vec<WorkspaceShare>,
    /// Number of shared prefixes of each workspace.
    pub prefixes_per_workspace: usize,
    /// Share of calls that start with a shared prefix.
    pub prefix_share: f64,
    /// One-way network delay between callers and nodes in microseconds.
    pub client_delay: u64,
}

impl WorkloadMix {
    /// Draws the calls of the first `seconds` at a mean `rate` per second, in order of arrival.
    pub fn draw_calls(&self, rate: f64, seconds: f64, seed: u64) -> Vec<CallSpec> {
        let mut calls = Vec::new();
        for (class_index, class) in self.classes.iter().enumerate() {
            let mut random = Pcg64Mcg::seed_from_u64(seed ^ ((class_index as u64 + 1) << 32));
            let times = class
                .arrivals
                .draw_times(&mut random, rate * class.share, seconds);
            for arrival in times {
                calls.push(self.draw_call(&mut random, class_index, arrival));
            }
        }
        calls.sort_by_key(|call| call.arrival);
        calls
    }

    /// Draws one call of any class with arrival zero.
    pub fn draw_any_call(&self, random: &mut impl Rng) -> CallSpec {
        let shares = self.classes.iter().map(|class| class.share);
        let class_index = draw_index(random, shares);
        self.draw_call(random, class_index, 0)
    }

    /// Mean output tokens of a call, estimated from 200,000 draws with a fixed seed.
    pub fn mean_output_tokens(&self) -> f64 {
        let mut random = Pcg64Mcg::seed_from_u64(0);
        let draw = |_| f64::from(self.draw_any_call(&mut random).output_tokens);
        (0..MEAN_DRAWS).map(draw).sum::<f64>() / MEAN_DRAWS as f64
    }

    fn draw_call(&self, random: &mut impl Rng, class_index: usize, arrival: u64) -> CallSpec {
        let class = &self.classes[class_index];
        let shares = self.workspaces.iter().map(|workspace| workspace.share);
        let workspace_index = draw_index(random, shares);
        let workspace = &self.workspaces[workspace_index];
        let factor = if class.scaled_by_workspace {
            workspace.length_factor
        } else {
            1.0
        };
        let own = class.prompt.sample(random, 1.0);
        let (prefix, prefix_tokens) = self.draw_prefix(random, workspace_index);
        CallSpec {
            arrival,
            workspace: workspace.name.clone(),
            workspace_index,
            class_index,
            kind: class.kind,
            prompt_tokens: own + prefix_tokens,
            prefix_tokens,
            prefix,
            output_tokens: class.output.sample(random, factor),
            max_tokens: class.max_tokens,
        }
    }

    /// Draws the fingerprint and length of a shared prefix, or a random fingerprint with length
    /// zero.
    fn draw_prefix(&self, random: &mut impl Rng, workspace_index: usize) -> (u64, u32) {
        let unique = random.random::<u64>() | 1 << 63;
        if self.prefixes_per_workspace == 0 || !random.random_bool(self.prefix_share) {
            return (unique, 0);
        }
        let at = random.random_range(0..self.prefixes_per_workspace);
        let fingerprint = (workspace_index * self.prefixes_per_workspace + at + 1) as u64;
        (
            fingerprint,
            SHARED_PREFIX_TOKENS[at % SHARED_PREFIX_TOKENS.len()],
        )
    }
}

/// Creates the ten workspaces of both workloads, of which the largest three make 70% of the
/// calls.
pub(super) fn create_workspaces() -> Vec<WorkspaceShare> {
    let parts = WORKSPACE_SHARES.iter().zip(LENGTH_FACTORS).enumerate();
    let workspace = |(at, (share, length_factor)): (usize, (&f64, f64))| WorkspaceShare {
        // A hyphen, letters and digits are always a valid name.
        name: format!("ws-{at:02}").parse().expect("valid workspace name"),
        share: *share,
        length_factor,
    };
    parts.map(workspace).collect()
}

/// Draws an index with the probabilities `shares`.
fn draw_index(random: &mut impl Rng, shares: impl Iterator<Item = f64>) -> usize {
    let mut left: f64 = random.random_range(0.0..1.0);
    let mut last = 0;
    for (at, share) in shares.enumerate() {
        last = at;
        if left < share {
            return at;
        }
        left -= share;
    }
    last
}
