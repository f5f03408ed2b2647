use base::TokenCount;
use engine::{
    EngineEvent, EnginePriority, EngineRequest, EngineTime, EventDetail, RefusalReason,
    SharedPrefix,
};
use rand::Rng;
use sched::RequestPriority;

use super::call_state::{CallPlace, call_index};
use super::cost_book::PROBE_BYTES;
use super::event_queue::TrialEvent;
use super::trial_run::{NODE_DELAY, TrialRun, micros};
use crate::CallOutcome;

/// Tokens between two notes of progress to a policy.
const PROGRESS_STRIDE: u32 = 16;

impl TrialRun<'_> {
    /// Hands a call to an engine, which may refuse it or be dead.
    pub(super) fn submit_to_engine(
        &mut self,
        engine: usize,
        call: usize,
        attempt: u32,
        priority: RequestPriority,
    ) {
        if !self.is_current(call, attempt) {
            return;
        }
        let request = self.build_request(call, priority);
        let now = EngineTime::new(self.now);
        let cell = &mut self.engines[engine];
        let answer = match &mut cell.model {
            Some(model) => model.submit(now, request).map(|_| ()),
            None => Err(RefusalReason::QueueFull),
        };
        match answer {
            Ok(()) => {
                cell.calls.insert(call);
            }
            Err(_) => {
                let known = self.now + NODE_DELAY;
                self.queue
                    .push(known, TrialEvent::NotAdmitted { call, attempt });
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

    /// Passes a changed priority to an engine.
    pub(super) fn prioritise(&mut self, engine: usize, call: usize, priority: RequestPriority) {
        let request = &self.calls[call].request;
        let now = EngineTime::new(self.now);
        if let Some(model) = &mut self.engines[engine].model {
            model.set_priority(now, request, EnginePriority(priority.0));
        }
        self.collect_events(engine);
    }

    /// Lets an engine go on if its wake event is still the current one.
    pub(super) fn wake_engine(&mut self, engine: usize) {
        if self.engines[engine].wake_at == Some(self.now) {
            self.engines[engine].wake_at = None;
            self.collect_events(engine);
        }
    }

    /// Takes the events of an engine up to now and schedules the next ones.
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
            self.take_event(engine, event);
        }
    }

    fn take_event(&mut self, engine: usize, event: EngineEvent) {
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
                        self.tally.prefill += u64::from(state.spec.prompt_tokens - cached.0);
                    }
                    let known = at + NODE_DELAY;
                    self.queue
                        .push(known, TrialEvent::Admitted { call, attempt });
                }
            }
            EventDetail::Finished { request, .. } => {
                if let Some(call) = self.find_call(engine, &request) {
                    self.engines[engine].calls.remove(&call);
                    let attempt = self.calls[call].attempt;
                    let known = at + NODE_DELAY;
                    self.queue
                        .push(known, TrialEvent::Completed { call, attempt });
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
                    self.tally.preemptions += 1;
                    self.tally.recomputed += u64::from(recomputed.0);
                }
            }
            EventDetail::CacheStored { fingerprint } => {
                self.spread_cache(engine, fingerprint, true)
            }
            EventDetail::CacheEvicted { fingerprint } => {
                self.spread_cache(engine, fingerprint, false);
            }
            EventDetail::Refused { .. }
            | EventDetail::WeightsLoaded(_)
            | EventDetail::WeightsUnloaded(_) => {}
        }
    }

    /// Books a token as its caller sees it and notes progress from time to time.
    fn deliver_token(&mut self, call: usize, at: u64, offset: u32) {
        let seen = at + NODE_DELAY + self.plan.mix.client_delay;
        let start = micros(self.plan.warmup);
        let end = start + micros(self.plan.window);
        let state = &mut self.calls[call];
        let gap = state.timeline.add_token(seen);
        if (start..end).contains(&seen) {
            state.window_tokens += 1;
        }
        if state.measured {
            self.tally.generated += 1;
            if let Some(gap) = gap {
                self.book.add_gap(state.timeline.is_quick(), gap);
            }
        }
        if offset.is_multiple_of(PROGRESS_STRIDE) {
            let (attempt, produced) = (state.attempt, offset + 1);
            let event = TrialEvent::Progress {
                call,
                attempt,
                produced,
            };
            self.queue.push(at + NODE_DELAY, event);
        }
    }

    /// Sends a cache event to every node, late and with gaps.
    fn spread_cache(&mut self, engine: usize, prefix: u64, held: bool) {
        for node in 0..self.policies.len() {
            if self.random.random_bool(self.plan.cache_gap) {
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

    /// Measures the load of an engine and sends it to every node, late.
    pub(super) fn measure_engine(&mut self, engine: usize) {
        let next = self.now + micros(self.plan.report_period);
        self.queue.push(next, TrialEvent::Measure { engine });
        let Some(report) = self.engines[engine].report(self.clock()) else {
            return;
        };
        for node in 0..self.policies.len() {
            let at = self.now + self.draw_delay();
            let report = report.clone();
            self.queue.push(at, TrialEvent::Report { node, report });
        }
    }

    /// Answers a probe of a node; a dead engine stays silent.
    pub(super) fn answer_probe(&mut self, node: usize, engine: usize) {
        let Some(report) = self.engines[engine].report(self.clock()) else {
            return;
        };
        self.cost.probe_bytes += PROBE_BYTES;
        let at = self.now + NODE_DELAY;
        self.queue.push(at, TrialEvent::Report { node, report });
    }

    /// Ends an engine with everything on it.
    pub(super) fn kill_engine(&mut self, engine: usize) {
        let cell = &mut self.engines[engine];
        cell.model = None;
        cell.wake_at = None;
        let calls = std::mem::take(&mut cell.calls);
        for call in calls {
            let attempt = self.calls[call].attempt;
            let known = self.now + NODE_DELAY;
            self.queue.push(known, TrialEvent::Lost { call, attempt });
        }
        self.push_targets();
    }

    /// Finds the call of a request if this engine is where it was sent last.
    fn find_call(&self, engine: usize, request: &base::RequestId) -> Option<usize> {
        let call = call_index(request)?;
        (self.calls[call].place == CallPlace::Placed { engine }).then_some(call)
    }

    /// Tells whether news about an attempt still matter.
    pub(super) fn is_current(&self, call: usize, attempt: u32) -> bool {
        let state = &self.calls[call];
        state.attempt == attempt && matches!(state.place, CallPlace::Placed { .. })
    }

    /// Ends a call whose generation is lost after its caller got tokens.
    pub(super) fn end_lost(&mut self, call: usize) {
        let at = self.now + self.plan.mix.client_delay;
        self.calls[call].timeline.close_open(at);
        let kind = base::ErrorKind::GenerationLost.to_string();
        self.end_call(call, &CallOutcome::Failed(kind.into()));
    }
}
