use base::WorkspaceName;
use sched::CallKind;

/// Most output tokens of a quick call.
const QUICK_TOKENS: u32 = 64;

/// One call that will arrive, whatever happened to those before it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSpec {
    /// Arrival at the caller's side in microseconds since the start.
    pub arrival: u64,
    /// Workspace that makes the call.
    pub workspace: WorkspaceName,
    /// Place of the workspace in its mix.
    pub workspace_at: usize,
    /// Place of the class in its mix.
    pub class_at: usize,
    /// Path that the call takes.
    pub kind: CallKind,
    /// Tokens of the prompt, shared prefix included.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix; zero if it shares none.
    pub prefix_tokens: u32,
    /// Fingerprint of the start of the prompt.
    pub prefix: u64,
    /// Tokens of the output, unknown to the system.
    pub output_tokens: u32,
    /// Bound of the output that the caller gives.
    pub max_tokens: Option<u32>,
}

impl CallSpec {
    /// Tells whether the output has at most 64 tokens.
    pub fn is_quick(&self) -> bool {
        self.output_tokens <= QUICK_TOKENS
    }
}
