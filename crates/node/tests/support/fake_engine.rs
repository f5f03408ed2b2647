use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base::{GenerationId, RequestId, TargetName};
use node::{
    EngineClient, EngineConnection, EngineError, EngineFuture, EngineHealth, EngineOrder,
    EngineProgress, EngineStream,
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

fn unreachable<T: Send + 'static>() -> EngineFuture<'static, T> {
    Box::pin(async { Err(EngineError::Refused) })
}

impl EngineClient for FakeEngine {
    fn connect(&self, _: SocketAddr) -> EngineFuture<'_, Box<dyn EngineConnection>> {
        unreachable()
    }

    fn resume(&self, _: SocketAddr, _: GenerationId, _: u64) -> EngineFuture<'_, EngineStream> {
        Box::pin(async { Err(EngineError::Refused) })
    }

    fn progress(&self, _: SocketAddr, _: GenerationId) -> EngineFuture<'_, EngineProgress> {
        unreachable()
    }

    fn request_progress(&self, _: SocketAddr, _: RequestId) -> EngineFuture<'_, EngineProgress> {
        unreachable()
    }

    fn cancel(&self, _: SocketAddr, _: GenerationId) -> EngineFuture<'_, ()> {
        unreachable()
    }

    fn set_priority(
        &self,
        _: SocketAddr,
        generation: GenerationId,
        priority: RequestPriority,
    ) -> EngineFuture<'_, ()> {
        let mut priorities = self.priorities.lock().expect("no panic before");
        priorities.push((generation, priority));
        Box::pin(async { Ok(()) })
    }

    fn order(&self, _: SocketAddr, _: EngineOrder) -> EngineFuture<'_, ()> {
        unreachable()
    }

    fn health(&self, _: SocketAddr) -> EngineFuture<'_, EngineHealth> {
        unreachable()
    }

    fn health_and_load(
        &self,
        _: TargetName,
        _: SocketAddr,
    ) -> EngineFuture<'_, (EngineHealth, LoadReport)> {
        unreachable()
    }
}
