use base::TokenCount;
use engine::{
    EngineEvent, EnginePriority, EngineRequest, EngineTime, EventDetail, RefusalReason,
    SharedPrefix,
};
use rand::Rng;
use sched::RequestPriority;

use super::call_state::{CallPhase, call_index};
use super::cost_recorder::PROBE_BYTES;
use super::event_queue::TrialEvent;
use super::trial_run::{NODE_DELAY, TrialRun, micros};
use crate::CallOutcome;

/// Tokens between two progress events of a call.
const PROGRESS_INTERVAL_TOKENS: u32 = 16;

impl TrialRun<'_> {
    /// Submits a call to an engine; if the engine refuses it or is dead, the node learns that it
    /// was not admitted.
    pub(super) fn submit_to_engine(
        &mut self,
        engine: usize,
        call: usize,
        attempt: u32,
        priority: RequestPriority,
    ) {
        if !self.is_latest_attempt(call, attempt) {
            return;
        }
        let request = self.build_request(call, priority);
        let now = EngineTime::new(self.now);
        let slot = &mut self.engines[engine];
        let answer = match &mut slot.model {
            Some(model) => model.submit(now, request).map(|_| ()),
            None => Err(RefusalReason::QueueFull),
        };
        match answer {
            Ok(()) => {
                slot.calls.insert(call);
            }
            Err(_) => {
                let notified_at = self.now + NODE_DELAY;
                self.queue
                    .push(notified_at, TrialEvent::NotAdmitted { call, attempt });
            }
        }
        self.collect_events(engine);
    }

    fn build_request(&self, call: usize, priority: RequestPriority) -> EngineRequest {
        let state = &self.calls[call];
        let spec = &state.spec;
        let prompt = TokenCount(spec.prompt_tokens);
        let output = TokenCount(spec.output_tokens);
        let request = EngineRequest::new(state.request.clone(), prompt, output)
            .with_priority(EnginePriority(priority.0))
            .with_preemption_policy(self.plan.on_full);
        if spec.prefix_tokens == 0 {
            return request;
        }
        request.with_prefix(SharedPrefix {
            fingerprint: spec.prefix,
            tokens: TokenCount(spec.prefix_tokens),
        })
    }

    /// Changes the priority of a call on its engine.
    pub(super) fn set_engine_priority(
        &mut self,
        engine: usize,
        call: usize,
        priority: RequestPriority,
    ) {
        let request = &self.calls[call].request;
        let now = EngineTime::new(self.now);
        if let Some(model) = &mut self.engines[engine].model {
            model.set_priority(now, request, EnginePriority(priority.0));
        }
        self.collect_events(engine);
    }

    /// Processes the due events of an engine, unless this wake event is outdated.
    pub(super) fn wake_engine(&mut self, engine: usize) {
        if self.engines[engine].wake_at == Some(self.now) {
            self.engines[engine].wake_at = None;
            self.collect_events(engine);
        }
    }

    /// Handles the events of an engine up to now and schedules its next wake event.
    fn collect_events(&mut self, engine: usize) {
        let now = EngineTime::new(self.now);
        let Some(model) = &mut self.engines[engine].model else {
            return;
        };
        let events = model.advance(now);
        let next = model.next_event_time().map(EngineTime::as_micros);
        if next != self.engines[engine].wake_at {
            self.engines[engine].wake_at = next;
            if let Some(at) = next {
                self.queue.push(at, TrialEvent::Wake { engine });
            }
        }
        for event in events {
            self.handle_engine_event(engine, event);
        }
    }

    fn handle_engine_event(&mut self, engine: usize, event: EngineEvent) {
        let at = event.at.as_micros();
        match event.detail {
            EventDetail::Token {
                request, offset, ..
            } => {
                if let Some(call) = self.find_call(engine, &request) {
                    self.deliver_token(call, at, offset);
                }
            }
            EventDetail::Admitted {
                request, cached, ..
            } => {
                if let Some(call) = self.find_call(engine, &request) {
                    let state = &self.calls[call];
                    let attempt = state.attempt;
                    if state.measured {
                        self.work.prefill += u64::from(state.spec.prompt_tokens - cached.0);
                    }
                    let notified_at = at + NODE_DELAY;
                    self.queue
                        .push(notified_at, TrialEvent::Admitted { call, attempt });
                }
            }
            EventDetail::Finished { request, .. } => {
                if let Some(call) = self.find_call(engine, &request) {
                    self.engines[engine].calls.remove(&call);
                    let attempt = self.calls[call].attempt;
                    let notified_at = at + NODE_DELAY;
                    self.queue
                        .push(notified_at, TrialEvent::Completed { call, attempt });
                }
            }
            EventDetail::Failed { request, .. } => {
                if let Some(call) = self.find_call(engine, &request) {
                    self.engines[engine].calls.remove(&call);
                    let attempt = self.calls[call].attempt;
                    self.queue
                        .push(at + NODE_DELAY, TrialEvent::Lost { call, attempt });
                }
            }
            EventDetail::Preempted {
                request,
                recomputed,
            } => {
                let measured = call_index(&request).is_some_and(|call| self.calls[call].measured);
                if measured {
                    self.work.preemptions += 1;
                    self.work.recomputed += u64::from(recomputed.0);
                }
            }
            EventDetail::CacheStored { fingerprint } => {
                self.send_cache_event(engine, fingerprint, true)
            }
            EventDetail::CacheEvicted { fingerprint } => {
                self.send_cache_event(engine, fingerprint, false);
            }
            EventDetail::Refused { .. }
            | EventDetail::WeightsLoaded(_)
            | EventDetail::WeightsUnloaded(_) => {}
        }
    }

    /// Records a token at the time its caller sees it, and sends the node a progress event every
    /// 16 tokens.
    fn deliver_token(&mut self, call: usize, at: u64, offset: u32) {
        let seen = at + NODE_DELAY + self.plan.mix.client_delay;
        let start = micros(self.plan.warmup);
        let end = start + micros(self.plan.window);
        let state = &mut self.calls[call];
        let gap = state.timeline.record_token(seen);
        if (start..end).contains(&seen) {
            state.window_tokens += 1;
        }
        if state.measured {
            self.work.generated += 1;
            if let Some(gap) = gap {
                self.recorder.record_gap(state.timeline.is_quick(), gap);
            }
        }
        if offset.is_multiple_of(PROGRESS_INTERVAL_TOKENS) {
            let (attempt, produced) = (state.attempt, offset + 1);
            let event = TrialEvent::Progress {
                call,
                attempt,
                produced,
            };
            self.queue.push(at + NODE_DELAY, event);
        }
    }

    /// Sends a cache event to every node with a random delay; some are lost.
    fn send_cache_event(&mut self, engine: usize, prefix: u64, held: bool) {
        for node in 0..self.policies.len() {
            if self.random.random_bool(self.plan.cache_event_loss) {
                continue;
            }
            let at = self.now + self.draw_delay();
            let event = TrialEvent::Cache {
                node,
                engine,
                prefix,
                held,
            };
            self.queue.push(at, event);
        }
    }

    /// Sends the load report of an engine to every node with random delays, and schedules the
    /// next one.
    pub(super) fn report_load(&mut self, engine: usize) {
        let next = self.now + micros(self.plan.report_period);
        self.queue.push(next, TrialEvent::ReportDue { engine });
        let Some(report) = self.engines[engine].report(self.clock()) else {
            return;
        };
        for node in 0..self.policies.len() {
            let at = self.now + self.draw_delay();
            let report = report.clone();
            self.queue.push(at, TrialEvent::Report { node, report });
        }
    }

    /// Answers a probe of a node with a load report; a dead engine doesn't answer.
    pub(super) fn answer_probe(&mut self, node: usize, engine: usize) {
        let Some(report) = self.engines[engine].report(self.clock()) else {
            return;
        };
        self.cost.probe_bytes += PROBE_BYTES;
        let at = self.now + NODE_DELAY;
        self.queue.push(at, TrialEvent::Report { node, report });
    }

    /// Kills an engine; all its calls are lost.
    pub(super) fn kill_engine(&mut self, engine: usize) {
        let slot = &mut self.engines[engine];
        slot.model = None;
        slot.wake_at = None;
        let calls = std::mem::take(&mut slot.calls);
        for call in calls {
            let attempt = self.calls[call].attempt;
            let notified_at = self.now + NODE_DELAY;
            self.queue
                .push(notified_at, TrialEvent::Lost { call, attempt });
        }
        self.schedule_target_update();
    }

    /// Finds the call of a request if its latest dispatch was to this engine.
    fn find_call(&self, engine: usize, request: &base::RequestId) -> Option<usize> {
        let call = call_index(request)?;
        (self.calls[call].phase == CallPhase::Dispatched { engine }).then_some(call)
    }

    /// Whether this is the call's latest attempt and it has not ended.
    pub(super) fn is_latest_attempt(&self, call: usize, attempt: u32) -> bool {
        let state = &self.calls[call];
        state.attempt == attempt && matches!(state.phase, CallPhase::Dispatched { .. })
    }

    /// Ends a call as failed with `generation_lost`; the wait until now counts as stall time.
    pub(super) fn fail_lost_call(&mut self, call: usize) {
        let at = self.now + self.plan.mix.client_delay;
        self.calls[call].timeline.add_open_wait(at);
        let kind = base::ErrorKind::GenerationLost.to_string();
        self.end_call(call, &CallOutcome::Failed(kind.into()));
    }
}
