//! Parses the parts of an HTTP request into a typed request to the control core.

use crate::body::{AdmitBody, ApplyBody, ChangeBody, DeleteBody, PlanBody, PutBody};
use control::Request;
use plan::{Change, Document, PlanDeclaration};
use raft::ReplicaId;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use state::{Declaration, Operation, REQUEST_ID_MAX_BYTES};
use std::{net::IpAddr, str::FromStr};
use types::{ApiError, DomainName, InvalidName, Key, Kind, ResourceName, Spec};

/// The largest body of a request that doesn't declare a plan, in bytes.
pub const BODY_MAX_BYTES: usize = 512 * 1024;

/// The largest body that declares a plan, in bytes. The log entry may hold the plan twice and must
/// fit into one frame between replicas.
pub const PLAN_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The longest time that a watch waits for a change, in milliseconds; a longer one is reduced to
/// this.
pub const WATCH_MAX_MS: u64 = 30_000;

/// The parts of an HTTP request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpRequest<'a> {
    /// The method, in upper case.
    pub method: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The query, without the question mark.
    pub query: Option<&'a str>,
    /// The complete body.
    pub body: &'a [u8],
}

/// Parses an HTTP request by its path and method.
///
/// # Errors
///
/// The [`ApiError`] to answer with: the path or method does not exist, or a name, the query or the
/// body is not valid.
pub fn parse(request: &HttpRequest<'_>) -> Result<Request, ApiError> {
    let path = request
        .path
        .strip_prefix("/v1/")
        .ok_or(ApiError::NotFound)?;
    let segments: Vec<&str> = path.split('/').collect();
    match (segments.as_slice(), request.method) {
        (["resources"], "GET") => Ok(Request::List { kind: None }),
        (["resources", kind], "GET") => Ok(Request::List {
            kind: Some(parse_kind(kind)?),
        }),
        (["resources", kind, name], "GET") => Ok(Request::Get {
            key: parse_key(kind, name)?,
        }),
        (["resources", kind, name], "PUT") => parse_put(parse_key(kind, name)?, request.body),
        (["resources", kind, name], "DELETE") => parse_delete(parse_key(kind, name)?, request.body),
        (["apply"], "POST") => parse_apply(request.body),
        (["watch"], "GET") => parse_watch(request.query.unwrap_or_default()),
        (["plan"], "GET") => Ok(Request::ReadPlan),
        (["plan"], "PUT") => parse_plan(request.body),
        (["evacuations", domain], "PUT") => Ok(Request::Steer {
            change: Change::Evacuate {
                domain: parse_domain(domain)?,
            },
        }),
        (["evacuations", domain], "DELETE") => Ok(Request::Steer {
            change: Change::EndEvacuation {
                domain: parse_domain(domain)?,
            },
        }),
        (["replicas"], "GET") => Ok(Request::Replicas),
        (["replicas"], "POST") => parse_admit(request.body),
        (["resources"] | ["resources", _] | ["resources", _, _], _)
        | (["apply" | "watch" | "replicas" | "plan"], _)
        | (["evacuations", _], _) => Err(ApiError::MethodNotAllowed),
        _ => Err(ApiError::NotFound),
    }
}

fn parse_kind(kind: &str) -> Result<Kind, ApiError> {
    kind.parse().map_err(|_| ApiError::UnknownKind {
        kind: kind.to_owned(),
    })
}

fn parse_key(kind: &str, name: &str) -> Result<Key, ApiError> {
    Ok(Key {
        kind: parse_kind(kind)?,
        name: parse_name(name)?,
    })
}

fn parse_name(name: &str) -> Result<ResourceName, ApiError> {
    ResourceName::new(name).map_err(|error| ApiError::InvalidName { name: error.name })
}

fn malformed_json(error: &serde_json::Error) -> ApiError {
    ApiError::MalformedJson {
        reason: error.to_string(),
    }
}

/// The largest request body that a path accepts, in bytes.
#[must_use]
pub fn body_max_bytes(path: &str) -> usize {
    match path {
        "/v1/plan" => PLAN_MAX_BYTES,
        _ => BODY_MAX_BYTES,
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    parse_json_up_to(body, BODY_MAX_BYTES)
}

fn parse_json_up_to<T: DeserializeOwned>(body: &[u8], max_bytes: usize) -> Result<T, ApiError> {
    if body.len() > max_bytes {
        return Err(ApiError::BodyTooLarge {
            limit_bytes: max_bytes as u64,
        });
    }
    serde_json::from_slice(body).map_err(|error| malformed_json(&error))
}

fn parse_spec(kind: Kind, spec: Value) -> Result<Spec, ApiError> {
    serde_json::from_value(json!({"kind": kind, "spec": spec}))
        .map_err(|error| malformed_json(&error))
}

fn check_request_id(request_id: String) -> Result<String, ApiError> {
    let visible = request_id.bytes().all(|byte| byte.is_ascii_graphic());
    if visible && !request_id.is_empty() && request_id.len() <= REQUEST_ID_MAX_BYTES {
        return Ok(request_id);
    }
    Err(ApiError::InvalidRequestId {
        limit_bytes: REQUEST_ID_MAX_BYTES as u64,
    })
}

fn parse_put(key: Key, body: &[u8]) -> Result<Request, ApiError> {
    let body: PutBody = parse_json(body)?;
    Ok(Request::Change {
        request_id: check_request_id(body.request_id)?,
        operation: Operation::Put(Declaration {
            spec: parse_spec(key.kind, body.spec)?,
            name: key.name,
            based_on: Some(body.based_on),
        }),
    })
}

fn parse_delete(key: Key, body: &[u8]) -> Result<Request, ApiError> {
    let body: DeleteBody = parse_json(body)?;
    Ok(Request::Change {
        request_id: check_request_id(body.request_id)?,
        operation: Operation::Delete {
            key,
            based_on: body.based_on,
        },
    })
}

fn parse_apply(body: &[u8]) -> Result<Request, ApiError> {
    let body: ApplyBody = parse_json(body)?;
    let request_id = check_request_id(body.request_id)?;
    let declarations = body
        .changes
        .into_iter()
        .map(parse_change)
        .collect::<Result<_, _>>()?;
    let operation = Operation::Apply {
        declarations,
        prune: body.prune,
    };
    if body.dry_run {
        return Ok(Request::Preview { operation });
    }
    Ok(Request::Change {
        request_id,
        operation,
    })
}

fn parse_change(change: ChangeBody) -> Result<Declaration, ApiError> {
    Ok(Declaration {
        name: parse_name(&change.name)?,
        spec: parse_spec(parse_kind(&change.kind)?, change.spec)?,
        based_on: change.based_on,
    })
}

fn parse_plan(body: &[u8]) -> Result<Request, ApiError> {
    let PlanBody { based_on, plan } = parse_json_up_to(body, PLAN_MAX_BYTES)?;
    let declaration = PlanDeclaration {
        plan,
        document: Document::Own,
        based_on,
    };
    Ok(Request::Steer {
        change: Change::Declare(Box::new(declaration)),
    })
}

fn parse_domain(name: &str) -> Result<DomainName, ApiError> {
    let invalid = |error: InvalidName| ApiError::InvalidName { name: error.name };
    DomainName::new(name).map_err(invalid)
}

fn parse_admit(body: &[u8]) -> Result<Request, ApiError> {
    let body: AdmitBody = parse_json(body)?;
    Ok(Request::Admit {
        id: ReplicaId {
            name: body.name.into(),
            incarnation: body.incarnation,
        },
        replaces: body.replaces,
    })
}

fn parse_watch(query: &str) -> Result<Request, ApiError> {
    let mut from = 0;
    let mut wait_ms = 0;
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (parameter, value) = pair.split_once('=').unwrap_or((pair, ""));
        match parameter {
            "from" => from = parse_parameter(parameter, value)?,
            "wait_ms" => wait_ms = parse_parameter(parameter, value)?,
            _ => return Err(invalid_query(parameter)),
        }
    }
    Ok(Request::Watch {
        from,
        wait_ms: WATCH_MAX_MS.min(wait_ms),
    })
}

/// Parses the query of a look-up at an entry: the client's address in `client`, if present.
///
/// # Errors
///
/// [`ApiError::InvalidQuery`] for another parameter, or a value that is not an IP address.
pub fn lookup_client(query: Option<&str>) -> Result<Option<IpAddr>, ApiError> {
    let mut client = None;
    let pairs = query.unwrap_or_default().split('&');
    for pair in pairs.filter(|pair| !pair.is_empty()) {
        let (parameter, value) = pair.split_once('=').unwrap_or((pair, ""));
        if parameter != "client" {
            return Err(invalid_query(parameter));
        }
        let value = value.replace("%3A", ":").replace("%3a", ":");
        client = Some(parse_parameter(parameter, &value)?);
    }
    Ok(client)
}

fn parse_parameter<T: FromStr>(parameter: &str, value: &str) -> Result<T, ApiError> {
    value.parse().map_err(|_| invalid_query(parameter))
}

fn invalid_query(parameter: &str) -> ApiError {
    ApiError::InvalidQuery {
        parameter: parameter.to_owned(),
    }
}
