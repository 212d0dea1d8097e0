//! Simulates the callers: they send requests to entries, and try another entry when theirs is lost.

use crate::{
    entries::IncomingRequest,
    events::Event,
    world::{CONNECT_TIMEOUT_US, Request, Selector, World},
};

impl World {
    /// A caller sends the next request of a service; the one after it is scheduled.
    pub fn handle_next_arrival(&mut self, service: usize) {
        let arrival = self.next_arrivals[service];
        let next = self.arrivals[service].next_arrival();
        self.next_arrivals[service] = next;
        if next.at_us < self.end_us {
            self.events.push(next.at_us, Event::NextArrival { service });
        }
        let entry = self.entry_for(arrival.entry_draw);
        let at_us = arrival.at_us + self.site.caller_delay_us;
        let deadline_us = at_us + self.site.services[service].deadline_ms * 1_000;
        let request = self.requests.len();
        self.requests.push(Request {
            service,
            entry,
            sent_us: arrival.at_us,
            work_us: arrival.work_us,
            deadline_us,
            attempt: 0,
            worker: 0,
            runs: 0,
            open: true,
            in_flight: false,
            left_region: false,
        });
        self.events.push(at_us, Event::RequestAtEntry { request });
    }

    /// The entry that a caller uses among those listed as usable; `draw` is from 0 to 1.
    ///
    /// Each region has the same probability, since regions have about the same capacity; so has
    /// each entry of a region.
    fn entry_for(&self, draw: f64) -> usize {
        let listed: Vec<usize> = (0..self.entry_listed.len())
            .filter(|&entry| self.entry_listed[entry])
            .collect();
        let of_region = |region: usize| {
            let same = |&&e: &&usize| self.site.entry_regions[e] == region;
            listed.iter().filter(same).count() as f64
        };
        let weights: Vec<f64> = listed
            .iter()
            .map(|&entry| 1.0 / of_region(self.site.entry_regions[entry]))
            .collect();
        let mut remaining = draw * weights.iter().sum::<f64>();
        for (entry, weight) in listed.iter().zip(&weights) {
            remaining -= weight;
            if remaining <= 0.0 {
                return *entry;
            }
        }
        listed[0]
    }

    /// A request reaches its entry, or fails to connect to a lost one and goes to another.
    pub fn handle_request_at_entry(&mut self, now_us: u64, id: usize) {
        let request = self.requests[id];
        if !self.entry_up[request.entry] {
            let others = (0..self.entry_listed.len())
                .filter(|&entry| self.entry_listed[entry] && entry != request.entry);
            let others: Vec<usize> = others.collect();
            self.requests[id].entry = others[id % others.len()];
            let at_us = now_us + CONNECT_TIMEOUT_US;
            self.events
                .push(at_us, Event::RequestAtEntry { request: id });
            return;
        }
        let shape = self.site.services[request.service];
        self.caps
            .record_arrival(now_us, request.entry, request.service);
        let waiting = self.waiting(id);
        match &mut self.selector {
            Selector::Routers(entries) => {
                let incoming = IncomingRequest {
                    request: id,
                    service: request.service,
                    deadline_us: request.deadline_us,
                    idempotent: shape.idempotent,
                };
                let outputs = entries.arrive(request.entry, now_us, incoming);
                self.apply(now_us, &outputs);
            }
            Selector::AllKnowing(chooser) => {
                chooser.push(request.service, waiting);
                self.place_waiting(now_us, request.service);
            }
        }
    }
}
