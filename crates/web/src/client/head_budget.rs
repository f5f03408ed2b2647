use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may be received before a response head is complete, interim responses included.
///
/// Larger than any head, since the start of the body may be received by the same reads.
const HEAD_BYTES: usize = 1 << 20;
/// Budget of a connection that is not waiting for a response head.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a connection may still receive before the response head is complete;
/// clones share one number.
#[derive(Clone, Debug)]
pub struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    /// Creates an unlimited budget, for a connection on which nothing has been sent yet.
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Limits the bytes received from now on; called when a request is sent.
    pub fn limit(&self) {
        self.0.store(HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit; called when the response head has arrived.
    pub fn lift(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Deducts `count` received bytes; fails if fewer are left.
    fn deduct(&self, count: usize) -> io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        if count > left {
            let reason = format!("no response head in {HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        self.0.store(left - count, Ordering::Relaxed);
        Ok(())
    }
}

/// TCP stream whose reads fail once its head budget is used up.
///
/// Guards against a server that sends interim (1xx) responses without end: each of them is small
/// and well formed, so that no limit on a single head applies.
pub struct BudgetedStream {
    inner: TcpStream,
    budget: HeadBudget,
}

impl BudgetedStream {
    /// Wraps `inner`; its reads count against `budget`.
    pub fn new(inner: TcpStream, budget: HeadBudget) -> Self {
        Self { inner, budget }
    }
}

impl AsyncRead for BudgetedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.budget.deduct(buffer.filled().len() - before)),
            other => other,
        }
    }
}

impl AsyncWrite for BudgetedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
