//! The commands `plan`, `evacuate` and `end-evacuation`, which steer the gateways.

use crate::{call::ControlClient, declarations::DeclarationsError, error::CtlError, table::Table};
use api::PlanBody;
use bytes::Bytes;
use control::PlanInForce;
use hyper::Method;
use plan::{ChangeResult, Plan, Route, WeightedService};
use std::{fs, io::Write, path::Path};
use types::DomainName;

const PLAN_PATH: &str = "/v1/plan";

/// Prints the plan in force and the evacuated failure domains.
///
/// # Errors
///
/// [`CtlError`] when no replica gives a final answer, or the output can't be written.
pub async fn show(
    control: &mut ControlClient,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let in_force = fetch_plan(control).await?;
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
            weights_text(route),
        ]);
    }
    write!(out, "{table}")?;
    for domain in &in_force.evacuated {
        writeln!(out, "evacuated {domain}")?;
    }
    Ok(())
}

/// Declares the plan in a TOML file, in place of the version `based_on` or, without one, of the
/// version in force. Before the first plan the version is 0.
///
/// # Errors
///
/// [`CtlError`] when the file holds no valid plan, or the plan is not accepted.
pub async fn declare(
    control: &mut ControlClient,
    file: &Path,
    based_on: Option<u64>,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let plan = read_plan_file(file)?;
    let based_on = match based_on {
        Some(version) => version,
        None => fetch_plan(control)
            .await?
            .plan
            .map_or(0, |plan| plan.version),
    };
    let body = serde_json::to_vec(&PlanBody { based_on, plan })?;
    let applied: ChangeResult = control.call(Method::PUT, PLAN_PATH, body.into()).await?;
    match applied {
        _ if json => writeln!(out, "{}", serde_json::to_string(&applied)?)?,
        ChangeResult::Declared { version } => writeln!(out, "version {version} in force")?,
        ChangeResult::Applied => writeln!(out, "noted")?,
    }
    Ok(())
}

/// Starts (`evacuated`) or ends the evacuation of a failure domain.
///
/// # Errors
///
/// [`CtlError`] when the change is not accepted.
pub async fn set_evacuated(
    control: &mut ControlClient,
    domain: &DomainName,
    evacuated: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let (method, message) = match evacuated {
        true => (Method::PUT, "is evacuated"),
        false => (Method::DELETE, "takes work again"),
    };
    let path = format!("/v1/evacuations/{domain}");
    let _: ChangeResult = control.call(method, &path, Bytes::new()).await?;
    writeln!(out, "{domain} {message}")?;
    Ok(())
}

async fn fetch_plan(control: &mut ControlClient) -> Result<PlanInForce, CtlError> {
    control.call(Method::GET, PLAN_PATH, Bytes::new()).await
}

fn read_plan_file(path: &Path) -> Result<Plan, DeclarationsError> {
    let text = fs::read_to_string(path).map_err(|error| DeclarationsError::Read {
        path: path.to_owned(),
        error,
    })?;
    toml::from_str(&text).map_err(|error| DeclarationsError::Toml {
        path: path.to_owned(),
        error: Box::new(error),
    })
}

/// The services of a route with their weights in thousandths, each as `name:weight`.
fn weights_text(route: &Route) -> String {
    let part = |part: &WeightedService| format!("{}:{}", part.service, part.weight_milli);
    let parts: Vec<String> = route.parts.iter().map(part).collect();
    parts.join(" ")
}
