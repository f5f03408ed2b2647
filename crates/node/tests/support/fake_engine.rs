use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base::{GenerationId, RequestId, TargetName};
use node::{
    CallFuture, EngineClient, EngineFault, EngineHealth, EngineLink, EngineOrder, EngineProgress,
    EngineStream,
};
use sched::{LoadReport, RequestPriority};

/// Engine client whose engines all refuse connections; it only records priority changes.
#[derive(Clone, Default)]
pub struct FakeEngine {
    priorities: Arc<Mutex<Vec<(GenerationId, RequestPriority)>>>,
}

impl FakeEngine {
    /// Priority changes so far.
    pub fn priorities(&self) -> Vec<(GenerationId, RequestPriority)> {
        self.priorities.lock().expect("no panic before").clone()
    }
}

fn unreachable<T: Send + 'static>() -> CallFuture<'static, T> {
    Box::pin(async { Err(EngineFault::Refused) })
}

impl EngineClient for FakeEngine {
    fn connect(&self, _: SocketAddr) -> CallFuture<'_, Box<dyn EngineLink>> {
        unreachable()
    }

    fn resume(&self, _: SocketAddr, _: GenerationId, _: u64) -> CallFuture<'_, EngineStream> {
        Box::pin(async { Err(EngineFault::Refused) })
    }

    fn progress(&self, _: SocketAddr, _: GenerationId) -> CallFuture<'_, EngineProgress> {
        unreachable()
    }

    fn request_progress(&self, _: SocketAddr, _: RequestId) -> CallFuture<'_, EngineProgress> {
        unreachable()
    }

    fn cancel(&self, _: SocketAddr, _: GenerationId) -> CallFuture<'_, ()> {
        unreachable()
    }

    fn set_priority(
        &self,
        _: SocketAddr,
        generation: GenerationId,
        priority: RequestPriority,
    ) -> CallFuture<'_, ()> {
        let mut priorities = self.priorities.lock().expect("no panic before");
        priorities.push((generation, priority));
        Box::pin(async { Ok(()) })
    }

    fn order(&self, _: SocketAddr, _: EngineOrder) -> CallFuture<'_, ()> {
        unreachable()
    }

    fn health(&self, _: SocketAddr) -> CallFuture<'_, EngineHealth> {
        unreachable()
    }

    fn state(&self, _: TargetName, _: SocketAddr) -> CallFuture<'_, (EngineHealth, LoadReport)> {
        unreachable()
    }
}
