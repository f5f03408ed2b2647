use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that may arrive until the head of a response is complete, interim responses included.
///
/// Larger than any head, as the start of a body may arrive in the same reads.
const HEAD_BYTES: usize = 1 << 20;
/// Budget of a connection on which no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Bytes that may still arrive on a connection until the head of a response.
#[derive(Clone, Debug)]
pub struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    /// Creates the budget of a connection on which nothing was sent yet.
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Bounds what arrives from now on.
    pub fn begin(&self) {
        self.0.store(HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the bound, as the head arrived.
    pub fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    fn take(&self, count: usize) -> io::Result<()> {
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

/// Stream of a connection that fails once its head budget is spent.
///
/// A server may send interim responses without end, each of which is small and well formed.
pub struct BudgetedStream {
    inner: TcpStream,
    budget: HeadBudget,
}

impl BudgetedStream {
    /// Creates the stream of a connection.
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
            Poll::Ready(Ok(())) => Poll::Ready(self.budget.take(buffer.filled().len() - before)),
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
