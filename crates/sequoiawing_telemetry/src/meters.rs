use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::{Resource, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};
use sequoiawing_types::Name;
use std::{fmt, time::Duration};
use thiserror::Error;

/// The histogram bounds for durations, in seconds: those that the OpenTelemetry
/// conventions recommend for HTTP servers, and longer ones for cold starts.
const DURATION_BOUNDS: [f64; 16] = [
    0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 7.5, 10.0, 30.0, 60.0,
];

/// An error that prevents the collection of metrics.
#[derive(Debug, Error)]
#[error("metrics cannot be collected: {0}")]
pub struct MeterError(String);

/// The metric attributes of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestAttributes {
    /// The name of the customer.
    pub customer: Name,
    /// The name of the route.
    pub route: Name,
    /// The name of the model; empty for requests without one.
    pub model: Name,
}

/// Whether a refused request was within the rate limit of its customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WithinRate {
    /// The request was refused for another reason than the rate limit.
    Yes,
    /// The request exceeded the budget of the customer.
    No,
    /// The budget was not checked.
    Unknown,
}

impl WithinRate {
    fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// The metrics of one process.
pub struct Meters {
    registry: Registry,
    _provider: SdkMeterProvider,
    request: Histogram<f64>,
    cold_start: Histogram<f64>,
    idle: Counter<f64>,
    service: Counter<u64>,
    refused: Counter<u64>,
    quarantine_refused: Counter<u64>,
    evacuation_refused: Counter<u64>,
    evacuated: Gauge<u64>,
    unread_bodies: Counter<u64>,
    body_memory: Gauge<u64>,
    body_budget: Gauge<u64>,
    retries: Counter<u64>,
    quarantined: Gauge<u64>,
    upstreams: Gauge<u64>,
    waiting: Gauge<u64>,
    active: Gauge<u64>,
    revision: Gauge<u64>,
    leading: Gauge<u64>,
    cold: Gauge<u64>,
    cold_sent: Gauge<u64>,
    cold_avoided: Gauge<u64>,
}

impl Meters {
    /// Creates the metrics of the process `service` on `host` in data centre `centre`.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new(service: &'static str, host: &Name, centre: &Name) -> Result<Self, MeterError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MeterError(e.to_string()))?;
        let resource = Resource::builder_empty()
            .with_attributes([
                KeyValue::new("service.name", service),
                KeyValue::new("host.name", host.to_string()),
                KeyValue::new("cloud.availability_zone", centre.to_string()),
            ])
            .build();
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource)
            .build();
        let meter = provider.meter("sequoiawing");
        Ok(Self {
            registry,
            _provider: provider,
            request: duration_histogram(
                &meter,
                "http.server.request.duration",
                "Duration until the answer of a request begins",
            ),
            cold_start: duration_histogram(
                &meter,
                "sequoiawing.cold_start.duration",
                "Duration until the answer begins of a request whose model was not loaded",
            ),
            idle: seconds_counter(
                &meter,
                "sequoiawing.accelerator.idle_time",
                "Time that runners held models and ran nothing",
            ),
            unread_bodies: counter(
                &meter,
                "sequoiawing.bodies.unread",
                "{body}",
                "Request bodies that were refused or ended before their end",
            ),
            body_memory: gauge(&meter, "sequoiawing.bodies.memory", "By"),
            body_budget: gauge(&meter, "sequoiawing.bodies.budget", "By"),
            service: counter(
                &meter,
                "sequoiawing.service.tokens",
                "{token}",
                "Tokens that were served",
            ),
            refused: counter(
                &meter,
                "sequoiawing.refused.requests",
                "{request}",
                "Requests that were refused",
            ),
            quarantine_refused: counter(
                &meter,
                "sequoiawing.quarantine.refused.requests",
                "{request}",
                "Requests that were refused for a quarantined cause of crashes",
            ),
            evacuation_refused: counter(
                &meter,
                "sequoiawing.evacuation.refused.requests",
                "{request}",
                "Requests that were refused because all upstreams for them were evacuated",
            ),
            evacuated: gauge(&meter, "sequoiawing.evacuation.centres", "{centre}"),
            retries: counter(
                &meter,
                "sequoiawing.retries",
                "{retry}",
                "Retries for which the budget of a pool was checked",
            ),
            quarantined: gauge(&meter, "sequoiawing.quarantine.parts", "{part}"),
            upstreams: gauge(&meter, "sequoiawing.upstreams", "{upstream}"),
            waiting: gauge(&meter, "sequoiawing.waiting.requests", "{request}"),
            active: gauge(&meter, "http.server.active_requests", "{request}"),
            revision: gauge(&meter, "sequoiawing.tables.revision", "{revision}"),
            leading: gauge(&meter, "sequoiawing.leading", "{host}"),
            cold: gauge(&meter, "sequoiawing.cold.upstreams", "{upstream}"),
            cold_sent: gauge(&meter, "sequoiawing.cold.sent.requests", "{request}"),
            cold_avoided: gauge(&meter, "sequoiawing.cold.avoided.requests", "{request}"),
        })
    }

    /// Records the time from the arrival of a request to the start of its response,
    /// labelled with the status code.
    pub fn record_response(&self, request: &RequestAttributes, status: u16, duration: Duration) {
        let status = KeyValue::new("http.response.status_code", i64::from(status));
        let attributes = [attributes(request).as_slice(), &[status]].concat();
        self.request.record(duration.as_secs_f64(), &attributes);
    }

    /// Records the time to the response or refusal of a request whose model was not
    /// loaded when it arrived.
    pub fn record_cold_start(&self, request: &RequestAttributes, served: bool, duration: Duration) {
        let served = KeyValue::new("sequoiawing.served", served);
        let attributes = [attributes(request).as_slice(), &[served]].concat();
        self.cold_start.record(duration.as_secs_f64(), &attributes);
    }

    /// Adds tokens served to a customer.
    pub fn record_served_tokens(&self, customer: &Name, tokens: u64) {
        let customer = KeyValue::new("sequoiawing.customer", customer.to_string());
        self.service.add(tokens, &[customer]);
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, request: &RequestAttributes, code: &str, within: WithinRate) {
        let code = KeyValue::new("error.type", code.to_owned());
        let within = KeyValue::new("sequoiawing.within_rate", within.as_str());
        let attributes = [attributes(request).as_slice(), &[code, within]].concat();
        self.refused.add(1, &attributes);
    }

    /// Counts a request body that was not read to its end.
    pub fn record_unread_body(&self, cause: &'static str) {
        self.unread_bodies.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Sets the bytes that bodies take and those that they may take.
    pub fn set_body_memory(&self, held: usize, budget: usize) {
        self.body_memory.record(to_u64(held), &[]);
        self.body_budget.record(to_u64(budget), &[]);
    }

    /// Counts a request that was refused for a quarantined cause of crashes.
    pub fn record_quarantine_refusal(&self) {
        self.quarantine_refused.add(1, &[]);
    }

    /// Counts a request that was refused because all upstreams for it were evacuated.
    pub fn record_evacuation_refusal(&self) {
        self.evacuation_refused.add(1, &[]);
    }

    /// Sets the number of evacuated data centres.
    pub fn set_evacuated_centres(&self, count: usize) {
        self.evacuated.record(to_u64(count), &[]);
    }

    /// Counts a check of a pool's retry budget.
    pub fn record_retry(&self, pool: &Name, reason: &'static str, is_granted: bool) {
        let attributes = [
            KeyValue::new("sequoiawing.pool", pool.to_string()),
            KeyValue::new("sequoiawing.reason", reason),
            KeyValue::new("sequoiawing.granted", is_granted),
        ];
        self.retries.add(1, &attributes);
    }

    /// Sets the number of quarantined causes of crashes.
    pub fn set_quarantined_causes(&self, count: usize) {
        self.quarantined.record(to_u64(count), &[]);
    }

    /// Adds time during which a runner held models but ran no requests.
    pub fn record_idle_time(&self, pool: &Name, duration: Duration) {
        let pool = KeyValue::new("sequoiawing.pool", pool.to_string());
        self.idle.add(duration.as_secs_f64(), &[pool]);
    }

    /// Sets the number of live upstreams.
    pub fn set_upstreams(&self, count: usize) {
        self.upstreams.record(to_u64(count), &[]);
    }

    /// Sets the numbers of waiting and active requests.
    pub fn set_requests(&self, waiting: usize, active: usize) {
        self.waiting.record(to_u64(waiting), &[]);
        self.active.record(to_u64(active), &[]);
    }

    /// Sets the current revision and whether this host leads.
    pub fn set_state(&self, revision: u64, leading: bool) {
        self.revision.record(revision, &[]);
        self.leading.record(u64::from(leading), &[]);
    }

    /// Sets the number of cold upstreams, and since the start of the process the requests
    /// that were sent to them, and those that were refused, waited or went elsewhere
    /// because an upstream was cold.
    pub fn set_cold(&self, upstreams: usize, sent: u64, avoided: u64) {
        self.cold.record(to_u64(upstreams), &[]);
        self.cold_sent.record(sent, &[]);
        self.cold_avoided.record(avoided, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn scrape(&self) -> Result<String, MeterError> {
        let encoder = TextEncoder::new();
        encoder
            .encode_to_string(&self.registry.gather())
            .map_err(|e| MeterError(e.to_string()))
    }
}

impl fmt::Debug for Meters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meters").finish_non_exhaustive()
    }
}

fn attributes(request: &RequestAttributes) -> [KeyValue; 3] {
    [
        KeyValue::new("sequoiawing.customer", request.customer.to_string()),
        KeyValue::new("http.route", request.route.to_string()),
        KeyValue::new("gen_ai.request.model", request.model.to_string()),
    ]
}

fn duration_histogram(meter: &Meter, name: &'static str, help: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(help)
        .with_boundaries(DURATION_BOUNDS.to_vec())
        .build()
}

fn seconds_counter(meter: &Meter, name: &'static str, help: &'static str) -> Counter<f64> {
    meter
        .f64_counter(name)
        .with_unit("s")
        .with_description(help)
        .build()
}

fn counter(
    meter: &Meter,
    name: &'static str,
    unit: &'static str,
    help: &'static str,
) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_unit(unit)
        .with_description(help)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, unit: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_unit(unit).build()
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
