use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::AnyError;
use crate::caller::CallStream;
use crate::child_process::ChildProcess;

/// Streams that are being opened at the same time.
const CONCURRENT_OPENS: usize = 50;
/// Tokens that each stream has relayed before the memory is read.
const TOKENS_READ: u32 = 3;
/// Milliseconds between the tokens of a stream; a node would probe a stream after 2 s
/// without one.
const TOKEN_INTERVAL_MS: u32 = 1_000;
/// Tokens of each stream; more than are read, so that it stays open.
const STREAM_TOKENS: u32 = 100;

/// Opens `streams` concurrent streams and returns the resident bytes that each adds to the proxy.
pub async fn bytes_per_stream(proxy: &ChildProcess, streams: u32) -> Result<f64, AnyError> {
    let before = proxy.resident()?;
    let mut opened = Vec::new();
    let mut opening = JoinSet::new();
    let address = proxy.address;
    for _ in 0..streams {
        if opening.len() >= CONCURRENT_OPENS
            && let Some(call) = opening.join_next().await
        {
            opened.push(call??);
        }
        opening.spawn(CallStream::open(address, STREAM_TOKENS, TOKEN_INTERVAL_MS));
    }
    while let Some(call) = opening.join_next().await {
        opened.push(call??);
    }
    let mut reading = JoinSet::new();
    for mut call in opened {
        reading.spawn(async move {
            call.read_to(TOKENS_READ).await?;
            Ok::<_, AnyError>(call)
        });
    }
    let mut open_streams = Vec::new();
    while let Some(call) = reading.join_next().await {
        open_streams.push(call??);
    }
    let after = proxy.resident()?;
    if open_streams.iter().any(|call| call.tokens < TOKENS_READ) {
        return Err("a stream ended early".into());
    }
    drop(open_streams);
    // Let the proxy close the cancelled streams before the next measurement starts.
    sleep(Duration::from_secs(3)).await;
    Ok((after as f64 - before as f64) * 1_024.0 / f64::from(streams))
}
