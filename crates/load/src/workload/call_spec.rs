use base::WorkspaceName;
use sched::CallKind;

/// Most output tokens of a call that counts as quick.
const MAX_QUICK_TOKENS: u32 = 64;

/// One call of an open-loop workload; it arrives whether or not earlier calls have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct CallSpec {
    /// Time at which the caller sends the call, in microseconds since the start.
    pub arrival: u64,
    /// Workspace that makes the call.
    pub workspace: WorkspaceName,
    /// Index of the workspace in its mix.
    pub workspace_index: usize,
    /// Index of the class in its mix.
    pub class_index: usize,
    /// Kind of API call.
    pub kind: CallKind,
    /// Tokens of the prompt, shared prefix included.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix; zero if the prompt shares none.
    pub prefix_tokens: u32,
    /// Fingerprint of the shared prefix; unique to the call if it shares none.
    pub prefix: u64,
    /// Tokens of the output; the system under test doesn't know this in advance.
    pub output_tokens: u32,
    /// `max_tokens` that the caller sets, if any.
    pub max_tokens: Option<u32>,
}

impl CallSpec {
    /// Whether the call counts as quick: its output has at most 64 tokens.
    pub fn is_quick(&self) -> bool {
        self.output_tokens <= MAX_QUICK_TOKENS
    }
}
