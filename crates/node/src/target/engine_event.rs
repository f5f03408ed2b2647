use base::{GenerationId, TokenCount};
use bytes::Bytes;

/// Event in the response stream of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token.
    Token {
        /// Generation that the token belongs to.
        generation: GenerationId,
        /// Position of the token in its generation, from 0.
        offset: u32,
        /// OpenAI chunk with the token, as JSON.
        data: Bytes,
    },
    /// The end of the generation.
    End {
        /// Generation that ended.
        generation: GenerationId,
        /// Number of tokens in the whole generation.
        count: TokenCount,
        /// OpenAI chunk with the finish reason, as JSON.
        data: Bytes,
    },
}
