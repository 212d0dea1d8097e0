//! The plan that gateways follow, and the failure domains that they leave.

use crate::{call::Caller, declarations::DeclarationsError, error::CtlError, table::Table};
use api::PlanBody;
use bytes::Bytes;
use control::PlanInForce;
use hyper::Method;
use plan::{Applied, Part, Plan, Route};
use std::{fs, io::Write, path::Path};
use types::DomainName;

const PATH: &str = "/v1/plan";

/// Prints the plan in force and the evacuated failure domains.
///
/// # Errors
///
/// [`CtlError`] when no replica answers.
pub async fn show(caller: &mut Caller, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let in_force = read(caller).await?;
    if json {
        writeln!(out, "{}", serde_json::to_string(&in_force)?)?;
        return Ok(());
    }
    let Some(plan) = in_force.plan else {
        writeln!(out, "no plan yet")?;
        return Ok(());
    };
    writeln!(out, "version {}", plan.version)?;
    let mut table = Table::new(&["ROUTE", "PLACE", "REPEAT", "TIMEOUT", "PARTS"]);
    for route in &plan.routes {
        table.push([
            route.name.clone(),
            format!("{}{}", route.host, route.prefix),
            route.repeat.to_string(),
            format!("{} ms", route.timeout_ms),
            parts(route),
        ]);
    }
    write!(out, "{table}")?;
    for domain in &in_force.evacuated {
        writeln!(out, "evacuated {domain}")?;
    }
    Ok(())
}

/// Declares the plan that a file holds.
///
/// # Errors
///
/// [`CtlError`] when the file holds no plan, or the plan is not accepted.
pub async fn declare(
    caller: &mut Caller,
    file: &Path,
    based_on: Option<u64>,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let plan = read_file(file)?;
    let based_on = match based_on {
        Some(version) => version,
        None => read(caller).await?.plan.map_or(0, |plan| plan.version),
    };
    let body = serde_json::to_vec(&PlanBody { based_on, plan })?;
    let applied: Applied = caller.call(Method::PUT, PATH, body.into()).await?;
    match applied {
        _ if json => writeln!(out, "{}", serde_json::to_string(&applied)?)?,
        Applied::Declared { version } => writeln!(out, "version {version} in force")?,
        Applied::Noted => writeln!(out, "noted")?,
    }
    Ok(())
}

/// Starts an evacuation, or ends it.
///
/// # Errors
///
/// [`CtlError`] when no replica accepts it.
pub async fn evacuate(
    caller: &mut Caller,
    domain: &DomainName,
    starts: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let (method, told) = match starts {
        true => (Method::PUT, "is evacuated"),
        false => (Method::DELETE, "takes work again"),
    };
    let path = format!("/v1/evacuations/{domain}");
    let _: Applied = caller.call(method, &path, Bytes::new()).await?;
    writeln!(out, "{domain} {told}")?;
    Ok(())
}

async fn read(caller: &mut Caller) -> Result<PlanInForce, CtlError> {
    caller.call(Method::GET, PATH, Bytes::new()).await
}

fn read_file(path: &Path) -> Result<Plan, DeclarationsError> {
    let text = fs::read_to_string(path).map_err(|error| DeclarationsError::Read {
        path: path.to_owned(),
        error,
    })?;
    toml::from_str(&text).map_err(|error| DeclarationsError::Toml {
        path: path.to_owned(),
        error: Box::new(error),
    })
}

fn parts(route: &Route) -> String {
    let part = |part: &Part| format!("{}:{}", part.service, part.weight_milli);
    let parts: Vec<String> = route.parts.iter().map(part).collect();
    parts.join(" ")
}
