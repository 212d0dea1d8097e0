//! The inputs and results of [`Gate`](crate::Gate).

use plan::{InstanceState, KeyDigest};
use std::net::SocketAddr;
use types::{DomainName, ServiceName, TimeUs, UpstreamName};

/// The properties of a client's request that routing and admission depend on.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Identifies the request in later calls such as
    /// [`Gate::attempt_ended`](crate::Gate::attempt_ended); chosen by the caller and never reused
    /// within one run of the process.
    pub request: u64,
    /// The host that the request names; a port is ignored.
    pub host: &'a str,
    /// The path of the request, without the query.
    pub path: &'a str,
    /// How many milliseconds the client still waits, when it says so.
    pub timeout_ms: Option<u64>,
    /// The hash of the object that the request is for, when the client names one. On sticky routes,
    /// requests for one object mostly go to one upstream.
    pub object: Option<u64>,
    /// The digest of the key that the client sent, if it sent one.
    pub key: Option<KeyDigest>,
}

/// Whose request it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No plan has had tenants, so nobody asked.
    Untracked,
    /// The plan has no tenants any more, and the client sent no key.
    Keyless,
    /// The client sent no key, and the route accepts that.
    Anonymous,
    /// The tenant of this name holds the key.
    Tenant(String),
}

impl Caller {
    /// The name of the tenant, if there is one.
    #[must_use]
    pub const fn tenant(&self) -> Option<&str> {
        match self {
            Self::Untracked | Self::Keyless | Self::Anonymous => None,
            Self::Tenant(name) => Some(name.as_str()),
        }
    }
}

/// Why an upstream is paced: it gets few requests at first, and more by its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceCause {
    /// It is a new instance or a new run of one.
    Started,
    /// It was paused after failures.
    Paused,
    /// It registered as cold again.
    Cold,
}

impl PaceCause {
    /// The name of the cause in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Paused => "paused",
            Self::Cold => "cold",
        }
    }
}

/// A change of the pace of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// The first attempt at an upstream that is paced has ended.
    Began(PaceCause),
    /// It may have half as many requests as before; counted, not logged.
    Halved,
    /// It may have as many requests as it has slots, and is no longer paced.
    Ended,
}

impl PaceChange {
    /// The name of the change in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Began(_) => "began",
            Self::Halved => "halved",
            Self::Ended => "ended",
        }
    }
}

/// A change of what a gateway knows about its upstreams, to be logged or counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// An instance has registered, changed or left.
    Instance {
        /// The name of the instance.
        upstream: UpstreamName,
        /// Its state after the change.
        state: InstanceState,
        /// How many milliseconds it stays cold; 0 when it is not.
        cold_ms: u64,
        /// The log index of the change.
        revision: u64,
    },
    /// Because of failures, an upstream gets requests for a while only when no other is usable.
    Paused {
        /// The name of the upstream.
        upstream: UpstreamName,
        /// How the attempt ended that caused the pause.
        ending: Ending,
    },
    /// An upstream said in an answer that it is leaving; this run of it gets no new requests.
    Leaving {
        /// The name of the upstream.
        upstream: UpstreamName,
    },
    /// An upstream asked in an answer for no requests for a while.
    BackedOff {
        /// The name of the upstream.
        upstream: UpstreamName,
        /// For how many milliseconds it gets none; less than asked for when that is out of range.
        backoff_ms: u64,
    },
    /// The pace of an upstream changed.
    Pace {
        /// The name of the upstream.
        upstream: UpstreamName,
        /// The change.
        change: PaceChange,
    },
    /// The evacuated failure domains changed.
    Evacuated {
        /// All failure domains that are evacuated now.
        domains: Vec<DomainName>,
    },
    /// The gateway may rely on the keys that it knows.
    KeyLeaseGained,
    /// The keys that the gateway knows may be outdated, so that requests that need one are refused.
    KeyLeaseLost,
    /// A control replica that was asked for large changes did not send them in time; another one is
    /// asked.
    FetchTimedOut {
        /// The name of the replica.
        replica: String,
    },
}

/// An attempt to send: where the request goes and under which terms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The request, as in [`Arrival::request`].
    pub request: u64,
    /// The name of the route that matched.
    pub route: String,
    /// The service that runs it.
    pub service: ServiceName,
    /// The instance that must run it.
    pub upstream: UpstreamName,
    /// The address of that instance.
    pub address: SocketAddr,
    /// When the client must have the final answer, whatever the number of attempts.
    pub deadline_us: TimeUs,
    /// Whose request it is, for the upstream.
    pub caller: Caller,
    /// The number of this attempt, from 1.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the upstream has likely handled the request's object lately; none without object.
    pub has_affinity: Option<bool>,
    /// How long the request is expected to queue there, in milliseconds.
    pub expected_wait_ms: u64,
    /// How long it is expected to run there after that, in milliseconds.
    pub expected_run_ms: u64,
}

/// Why a new request is refused; it is sent to no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway has no plan yet.
    NoPlan,
    /// The keys that the gateway knows may be outdated, and the request needs one.
    StaleKeys,
    /// The gateway is stopping and no longer accepts requests.
    Stopping,
    /// The service has no upstream that may take the request.
    NoUpstream,
    /// Even at the best upstream the request would queue for longer than it may.
    Overloaded,
    /// It would queue for longer than is left to a party that has had its share of the service.
    AboveShare,
    /// It would queue for longer than more urgent requests leave to its priority.
    LessUrgent,
    /// It would not be answered before its deadline.
    Late,
    /// The client's wait time was over when the request arrived.
    Deadline,
    /// The process has no memory left for the request's body.
    Memory,
    /// The request's tenant is over its quota, or the gateway hears of no leader that could tell.
    Quota,
}

impl Refusal {
    /// The name of the reason in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPlan => "no-plan",
            Self::StaleKeys => "stale-keys",
            Self::Stopping => "stopping",
            Self::NoUpstream => "no-upstream",
            Self::Overloaded => "overloaded",
            Self::AboveShare => "above-share",
            Self::LessUrgent => "less-urgent",
            Self::Late => "late",
            Self::Deadline => "deadline",
            Self::Memory => "memory",
            Self::Quota => "quota",
        }
    }
}

/// The best upstream for a request that is refused because it would queue for too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BusyUpstream {
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// How long the request would queue there, in milliseconds.
    pub wait_ms: u64,
    /// How long it may queue, in milliseconds.
    pub wait_max_ms: u64,
    /// The priority that it counts with; 0 is the most urgent.
    pub priority: u32,
    /// What its tenant or, without tenants, its route has had of the service lately, in percent of its
    /// max-min share; none while the service isn't short, or when only one uses it.
    pub share_percent: Option<u32>,
}

/// How a new request is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// No route matches its host and path.
    NoRoute,
    /// No tenant holds its key, or it has none and the route wants one.
    Unauthorized,
    /// It is refused.
    Refuse {
        /// Why the gateway doesn't forward it.
        refusal: Refusal,
        /// How many milliseconds the client should wait before it retries.
        retry_after_ms: u64,
        /// The best upstream; set when the request would queue there for too long.
        best: Option<BusyUpstream>,
    },
    /// It waits for a token of its tenant's quota.
    /// [`Gate::take_decided`](crate::Gate::take_decided) returns the decision within 300 ms.
    Wait,
    /// It is sent to an upstream.
    Forward(Target),
}

/// The load that an upstream reports in its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that are queued there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes there at this moment, in percent of the usual time; none when it isn't told.
    pub slowness_percent: Option<u32>,
}

/// What an upstream asks for in its answer to an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    /// Whether it is leaving, so that it gets no new requests.
    pub is_leaving: bool,
    /// For how many milliseconds it wants no further requests from this gateway, when it says so.
    pub backoff_ms: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream's answer is complete and can go to the client.
    Answered,
    /// The upstream ran the request and answered with a server error.
    Failed,
    /// The upstream's status tells clients that the request did not run, but the upstream does not
    /// state it. The answer can't go to the client.
    Ambiguous,
    /// The upstream states that it did not run the request, for lack of capacity or time.
    Full,
    /// Another instance has the address; it did not run the request.
    Misdirected,
    /// The connection could not be opened, or closed before any of the request was sent.
    NotSent,
    /// The connection broke or carried no answer to this request, after the request was sent.
    Broken,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The client closed its connection before the answer.
    Left,
}

impl Ending {
    /// The name of the result in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Ambiguous => "ambiguous",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not-sent",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::Left => "left",
        }
    }

    /// Whether it counts as a failure of the upstream.
    pub(crate) const fn is_failure(self) -> bool {
        matches!(
            self,
            Self::Failed | Self::Ambiguous | Self::NotSent | Self::Broken | Self::TimedOut
        )
    }

    /// Whether the upstream certainly did not run the request.
    #[must_use]
    pub const fn has_not_run(self) -> bool {
        matches!(self, Self::Full | Self::Misdirected | Self::NotSent)
    }
}

/// How a request that was forwarded failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No upstream ran it, and none will.
    NotRun {
        /// How many milliseconds the client should wait before it retries.
        retry_after_ms: u64,
    },
    /// It may have run.
    Unknown,
    /// It may have run, and its deadline passed.
    TimedOut,
}

/// What the caller does after an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the upstream's answer to the client.
    Deliver,
    /// Send the request to another upstream.
    Retry(Target),
    /// Tell the client that the request failed.
    GiveUp(Failure),
}
