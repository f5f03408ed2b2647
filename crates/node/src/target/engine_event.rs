use base::{GenerationId, TokenCount};
use bytes::Bytes;

/// One event of a generation as the engine sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token; `data` is the OpenAI chunk that carries it.
    Token {
        /// Generation that the token belongs to.
        generation: GenerationId,
        /// Position of the token in its generation, from 0.
        offset: u32,
        /// OpenAI chunk as JSON.
        data: Bytes,
    },
    /// The end of the generation; `data` is the OpenAI chunk with the finish reason.
    End {
        /// Generation that ended.
        generation: GenerationId,
        /// Number of tokens in the whole generation.
        count: TokenCount,
        /// OpenAI chunk as JSON.
        data: Bytes,
    },
}
