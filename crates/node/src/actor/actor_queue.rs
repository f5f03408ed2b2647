use std::future::Future;
use std::pin::Pin;

use tokio::sync::{mpsc, oneshot};
use xtra::{Address, Handler};

/// A boxed closure that sends one message to the actor and waits until it is handled.
type ActorJob<A> =
    Box<dyn FnOnce(Address<A>) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + 'static>;

/// FIFO queue in front of an actor: delivers messages one at a time, in the order in which they
/// were posted. Clones share the queue.
///
/// The mailbox of `xtra` 0.6 does not keep the order of waiting messages of equal priority, so
/// that an older state could overwrite a newer one. This queue therefore puts the next message
/// into the mailbox only after the previous one has been handled.
pub struct ActorQueue<A> {
    jobs: mpsc::UnboundedSender<ActorJob<A>>,
}

impl<A: Send + 'static> ActorQueue<A> {
    /// Creates the queue of the actor at `address` and spawns its delivery task; must be called
    /// within a `tokio` runtime.
    pub fn new(address: Address<A>) -> Self {
        let (jobs, waiting) = mpsc::unbounded_channel();
        tokio::spawn(deliver_jobs(address, waiting));
        Self { jobs }
    }

    /// Queues a message without waiting for it to be handled; dropped if the actor has stopped.
    pub fn post<M>(&self, message: M)
    where
        M: Send + 'static,
        A: Handler<M>,
    {
        self.enqueue(Box::new(move |address| {
            Box::pin(async move {
                // Sending fails only once the node, and with it the actor, has stopped.
                let _ = address.send(message).await;
            })
        }));
    }

    /// Queues a message and waits for the result of its handler; `None` if the actor has stopped.
    pub async fn ask<M>(&self, message: M) -> Option<A::Return>
    where
        M: Send + 'static,
        A: Handler<M>,
        A::Return: Send,
    {
        let (reply, answer) = oneshot::channel();
        self.enqueue(Box::new(move |address| {
            Box::pin(async move {
                if let Ok(answer) = address.send(message).await {
                    // The asking task may have been cancelled.
                    let _ = reply.send(answer);
                }
            })
        }));
        answer.await.ok()
    }

    fn enqueue(&self, job: ActorJob<A>) {
        // The receiver is dropped only when the runtime shuts down.
        let _ = self.jobs.send(job);
    }
}

impl<A> Clone for ActorQueue<A> {
    fn clone(&self) -> Self {
        Self {
            jobs: self.jobs.clone(),
        }
    }
}

async fn deliver_jobs<A>(address: Address<A>, mut waiting: mpsc::UnboundedReceiver<ActorJob<A>>) {
    while let Some(job) = waiting.recv().await {
        job(address.clone()).await;
    }
}
