use std::sync::Arc;

/// The `head` key as the platform returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformHead {
    /// Consul's `ModifyIndex` of the key.
    pub modify_index: u64,
    /// Value of the key.
    pub text: Arc<str>,
}

/// Answer to a read or watch of the `head` key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformHeadAnswer {
    /// `X-Consul-Index` of the answer; the next watch waits until the index exceeds it.
    pub index: u64,
    /// The key; `None` if it does not exist.
    pub head: Option<PlatformHead>,
}
