//! Execution of requests on runners.

use crate::{
    Simulation,
    simulation::{
        RequestStatus, Violation, checks::memory_weighted, event::Event, state::ATTEMPT_IDS,
    },
};
use sequoiawing_policy::DispatchEvent;
use sequoiawing_types::Name;
use std::time::Duration;

/// The time after which an attempt on an unresponsive runner fails.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The fraction of the prompt time that remains when the prefix is cached.
const CACHED_PROMPT_FACTOR: f64 = 0.2;

impl Simulation {
    pub(crate) fn assign(&mut self, id: u64, upstream: &Name) {
        let request = usize::try_from(id / ATTEMPT_IDS).unwrap_or(0);
        let Some(i) = self.runner_indexes.get(upstream).copied() else {
            return;
        };
        self.check_leaving(i);
        let details = &self.requests[request];
        let is_loaded = self.runners[i].has_loaded(&details.model, details.adapter.as_ref());
        let centre = self.routers[details.router].centre;
        let is_reached = self.can_reach(centre, &self.runners[i]);
        if is_reached && self.runners[i].is_serving() && is_loaded {
            self.accept_request(i, request);
            return;
        }
        if is_reached && self.runners[i].is_serving() {
            self.counters.misses += 1;
        }
        self.record_trace(|| format!("request {request} fails on {upstream}"));
        let delay = if self.runners[i].is_frozen || !is_reached {
            ATTEMPT_TIMEOUT
        } else {
            Duration::ZERO
        };
        self.fail_attempt(request, upstream.clone(), delay);
    }

    /// Fails an attempt and schedules a retry on another upstream.
    pub(crate) fn fail_attempt(&mut self, request: usize, upstream: Name, delay: Duration) {
        let attempt = u64::from(self.outcomes[request].attempts).min(ATTEMPT_IDS - 1);
        self.outcomes[request].attempts += 1;
        let router = self.requests[request].router;
        let id = request as u64 * ATTEMPT_IDS + attempt;
        let healthy = false;
        self.notify_router(router, DispatchEvent::Finished { id, healthy });
        let avoid = upstream;
        self.schedule(self.now + delay, Event::Retry { request, avoid });
    }

    fn accept_request(&mut self, i: usize, request: usize) {
        let attempt = self.outcomes[request].attempts;
        let is_running = self.jobs.iter().any(|jobs| jobs.contains_key(&request));
        if is_running {
            let at = self.now;
            self.violations
                .record(Violation::DuplicateRun { at, request });
        }
        self.jobs[i].insert(request, attempt);
        if self.runners[i].running < self.runners[i].spec.slots {
            self.start_request(i, request, attempt);
        } else {
            self.runners[i].queue.push_back(request);
        }
    }

    fn start_request(&mut self, i: usize, request: usize, attempt: u32) {
        let details = self.requests[request].clone();
        let name = self.runners[i].spec.name.clone();
        let adapter = details.adapter.as_ref();
        let started =
            self.runners[i].start_request(self.now, &details.model, adapter, details.prefix);
        let (idle, was_cached) = started;
        if !self.is_ended {
            let memory = self.model_memory(&details.model);
            self.counters.idle += memory_weighted(idle, memory, self.runners[i].spec.memory);
        }
        self.counters.cached += u64::from(was_cached);
        let outcome = &mut self.outcomes[request];
        if outcome.started.is_none() {
            outcome.started = Some(self.now);
            outcome.wait = self.now.since(details.at);
            outcome.status = RequestStatus::Begun;
        }
        let wait = outcome.wait;
        self.record_trace(|| format!("request {request} begins on {name} after {wait:?}"));
        let factor = if was_cached {
            CACHED_PROMPT_FACTOR
        } else {
            1.0
        };
        let tokens = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let prompt = self.deployment.prompt_time * tokens(details.prompt_tokens);
        let answer = self.deployment.token_time * tokens(details.answer_tokens);
        let event = Event::RequestEnd {
            runner: i,
            epoch: self.runners[i].epoch,
            request,
            attempt,
        };
        self.schedule(self.now + prompt.mul_f64(factor) + answer, event);
    }

    pub(crate) fn finish_request(&mut self, i: usize, epoch: u64, request: usize, attempt: u32) {
        if self.runners[i].epoch != epoch || self.jobs[i].get(&request) != Some(&attempt) {
            return;
        }
        if !self.runners[i].is_serving() {
            return;
        }
        self.jobs[i].remove(&request);
        let details = &self.requests[request];
        let adapter = details.adapter.as_ref();
        self.runners[i].end_request(self.now, &details.model, adapter);
        self.outcomes[request].is_complete = true;
        if let Some(next) = self.runners[i].queue.pop_front() {
            let attempt = self.jobs[i].get(&next).copied().unwrap_or(0);
            self.start_request(i, next, attempt);
        }
        let router = self.requests[request].router;
        let id = request as u64 * ATTEMPT_IDS + u64::from(attempt).min(ATTEMPT_IDS - 1);
        let healthy = true;
        self.notify_router(router, DispatchEvent::Finished { id, healthy });
    }

    pub(crate) fn cancel_request(&mut self, i: usize, request: usize, attempt: u32) {
        let queue_index = self.runners[i].queue.iter().position(|r| *r == request);
        if let Some(index) = queue_index {
            self.runners[i].queue.remove(index);
            self.jobs[i].remove(&request);
            let router = self.requests[request].router;
            let id = request as u64 * ATTEMPT_IDS + u64::from(attempt).min(ATTEMPT_IDS - 1);
            let healthy = true;
            self.notify_router(router, DispatchEvent::Finished { id, healthy });
            return;
        }
        let epoch = self.runners[i].epoch;
        self.finish_request(i, epoch, request, attempt);
        self.outcomes[request].is_complete = false;
    }
}
