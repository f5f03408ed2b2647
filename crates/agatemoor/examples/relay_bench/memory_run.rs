use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::AnyError;
use crate::caller::OpenCall;
use crate::child_process::ChildProcess;

/// Streams that are opened at the same time.
const OPEN_AT_ONCE: usize = 50;
/// Tokens that each stream has relayed when the memory is read.
const TOKENS_BEFORE: u32 = 3;
/// Milliseconds between the tokens of a stream that stays open; after 2 s a node would probe it.
const GAP: u32 = 1_000;
/// Tokens of a stream, more than are waited for.
const TOKENS: u32 = 100;

/// Opens many streams at once and returns the resident bytes that each adds.
pub async fn bytes_per_stream(proxy: &ChildProcess, streams: u32) -> Result<f64, AnyError> {
    let before = proxy.resident()?;
    let mut opened = Vec::new();
    let mut opening = JoinSet::new();
    let address = proxy.address;
    for _ in 0..streams {
        if opening.len() >= OPEN_AT_ONCE
            && let Some(call) = opening.join_next().await
        {
            opened.push(call??);
        }
        opening.spawn(OpenCall::open(address, TOKENS, GAP));
    }
    while let Some(call) = opening.join_next().await {
        opened.push(call??);
    }
    let mut reading = JoinSet::new();
    for mut call in opened {
        reading.spawn(async move {
            call.read_to(TOKENS_BEFORE).await?;
            Ok::<_, AnyError>(call)
        });
    }
    let mut held = Vec::new();
    while let Some(call) = reading.join_next().await {
        held.push(call??);
    }
    let after = proxy.resident()?;
    if held.iter().any(|call| call.tokens < TOKENS_BEFORE) {
        return Err("a stream ended early".into());
    }
    drop(held);
    // Cancelled streams leave before the next part starts.
    sleep(Duration::from_secs(3)).await;
    Ok((after as f64 - before as f64) * 1_024.0 / f64::from(streams))
}
