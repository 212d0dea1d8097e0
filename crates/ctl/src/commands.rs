//! Runs a parsed command: sends its requests and prints the result. The modules `steering`,
//! `replicas` and `watch` hold the commands `plan`, `evacuate`, `end-evacuation`, `replicas`,
//! `admit` and `watch`.

use crate::{
    args::{Args, Command, DrainKind},
    call::{ControlClient, random_request_id},
    client::Client,
    declarations::read_declarations,
    diff::differences,
    error::{CtlError, ExitCode},
    explain::{explain, to_text},
    replicas, steering,
    table::Table,
    watch::{print_changes, status_line, wait_until_in_force},
};
use api::{ApplyBody, ChangeBody, DeleteBody};
use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use state::{Applied, ResourceItem, ResourceList};
use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::time::Instant;
use types::{ApiError, Kind, ResourceName};

/// How long a process may take to answer with its dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(5);

/// The answer to the withdrawal of a resource.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Deleted {
    revision: u64,
}

/// Runs a command and writes its result to `out`.
///
/// # Errors
///
/// [`CtlError`] when the command did not succeed.
pub async fn run(args: &Args, out: &mut dyn Write) -> Result<ExitCode, CtlError> {
    let deadline = Instant::now() + args.timeout;
    let mut control = ControlClient::new(new_client(args)?, &args.servers, deadline);
    let mut session = Session {
        args,
        control: &mut control,
        out,
    };
    match &args.command {
        Command::Apply {
            files,
            prune,
            dry_run,
        } => session.apply(files, *prune, *dry_run).await?,
        Command::Diff { files } => return session.diff(files).await,
        Command::Get { kind, name } => session.get(kind.as_deref(), name.as_deref()).await?,
        Command::Watch { until_in_force } => session.watch(*until_in_force, deadline).await?,
        Command::Drain { kind, name } => session.drain(*kind, name).await?,
        Command::Undrain { kind, name } => session.undrain(*kind, name).await?,
        Command::Plan { file: None, .. } => steering::show(&mut control, args.json, out).await?,
        Command::Plan {
            file: Some(file),
            based_on,
        } => steering::declare(&mut control, file, *based_on, args.json, out).await?,
        Command::Evacuate { domain } => {
            steering::set_evacuated(&mut control, domain, true, out).await?;
        }
        Command::EndEvacuation { domain } => {
            steering::set_evacuated(&mut control, domain, false, out).await?;
        }
        Command::Replicas => replicas::show(&control, args.json, out).await?,
        Command::Admit { name } => {
            replicas::admit(&mut control, name, deadline, args.json, out).await?;
        }
        Command::Dump { address } => dump(&control, address, out).await?,
        Command::Explain { request, logs } => explain_request(request, logs, args.json, out)?,
    }
    Ok(ExitCode::Done)
}

/// An HTTP client with the token of the file `--token-file`, if one is given.
fn new_client(args: &Args) -> Result<Client, CtlError> {
    let Some(path) = &args.token_file else {
        return Ok(Client::new());
    };
    let text = fs::read_to_string(path).map_err(|error| CtlError::TokenFile {
        path: path.clone(),
        error,
    })?;
    Ok(Client::new().with_token(text.lines().next().unwrap_or_default().trim()))
}

/// Prints what happened to a request, from the logs of several processes.
fn explain_request(
    request: &str,
    logs: &[PathBuf],
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let texts = logs
        .iter()
        .map(|path| read_log(path))
        .collect::<Result<Vec<String>, _>>()?;
    let explanation = explain(request, texts.iter().flat_map(|text| text.lines()))?;
    match json {
        true => writeln!(out, "{}", serde_json::to_string_pretty(&explanation)?)?,
        false => write!(out, "{}", to_text(&explanation))?,
    }
    Ok(())
}

fn read_log(path: &Path) -> Result<String, CtlError> {
    let read = match path.as_os_str() == "-" {
        true => io::read_to_string(io::stdin()),
        false => fs::read_to_string(path),
    };
    read.map_err(|error| CtlError::Log {
        path: path.to_owned(),
        error,
    })
}

async fn dump(control: &ControlClient, address: &str, out: &mut dyn Write) -> Result<(), CtlError> {
    let result = control
        .client()
        .send(address, Method::GET, "/dump", Bytes::new(), DUMP_TIMEOUT)
        .await;
    let answer = result.map_err(|error| CtlError::Dump {
        address: address.to_owned(),
        error,
    })?;
    let state: Value = serde_json::from_slice(&answer.body)?;
    writeln!(out, "{}", serde_json::to_string_pretty(&state)?)?;
    Ok(())
}

/// One command with its options, its connection to the control replicas and its output.
struct Session<'a> {
    args: &'a Args,
    control: &'a mut ControlClient,
    out: &'a mut dyn Write,
}

impl Session<'_> {
    fn print_json(&mut self, answer: &impl Serialize) -> Result<(), CtlError> {
        writeln!(self.out, "{}", serde_json::to_string(answer)?)?;
        Ok(())
    }

    fn request_id(&self) -> String {
        self.args
            .request_id
            .clone()
            .unwrap_or_else(random_request_id)
    }

    /// Sends a change. When it gets no final answer, the error names the request id, so that the
    /// operator can resend the change with it.
    async fn change<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        request_id: &str,
        body: &impl Serialize,
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(body)?.into();
        self.control
            .call(method, path, body)
            .await
            .map_err(|error| match error {
                CtlError::Unreachable(_)
                | CtlError::Api(ApiError::Unavailable | ApiError::TooBusy) => {
                    CtlError::OutcomeUnknown {
                        request_id: request_id.to_owned(),
                        error: Box::new(error),
                    }
                }
                error => error,
            })
    }

    async fn send_apply(
        &mut self,
        changes: Vec<ChangeBody>,
        prune: bool,
        dry_run: bool,
    ) -> Result<Applied, CtlError> {
        let body = ApplyBody {
            request_id: self.request_id(),
            prune,
            dry_run,
            changes,
        };
        self.change(Method::POST, "/v1/apply", &body.request_id, &body)
            .await
    }

    async fn apply(
        &mut self,
        files: &[PathBuf],
        prune: bool,
        dry_run: bool,
    ) -> Result<(), CtlError> {
        let changes = read_declarations(files)?;
        let applied = self.send_apply(changes, prune, dry_run).await?;
        if self.args.json {
            return self.print_json(&applied);
        }
        let mut table = Table::new(&["RESOURCE", "FATE"]);
        for (keys, effect) in [
            (&applied.created, "created"),
            (&applied.changed, "changed"),
            (&applied.withdrawn, "withdrawn"),
            (&applied.unchanged, "unchanged"),
        ] {
            for key in keys {
                table.push([key.to_string(), effect.to_owned()]);
            }
        }
        write!(self.out, "{table}")?;
        let revision = applied.revision;
        match dry_run {
            true => writeln!(
                self.out,
                "dry run: nothing changed since revision {revision}"
            )?,
            false => writeln!(self.out, "revision {revision}")?,
        }
        Ok(())
    }

    async fn diff(&mut self, files: &[PathBuf]) -> Result<ExitCode, CtlError> {
        let changes = read_declarations(files)?;
        let list = self.list("/v1/resources").await?;
        let differences = differences(&list.items, &changes)?;
        if self.args.json {
            self.print_json(&differences)?;
        } else {
            for difference in &differences {
                writeln!(self.out, "{difference}")?;
            }
        }
        Ok(match differences.is_empty() {
            true => ExitCode::Done,
            false => ExitCode::Different,
        })
    }

    async fn list(&mut self, path: &str) -> Result<ResourceList, CtlError> {
        self.control.call(Method::GET, path, Bytes::new()).await
    }

    async fn get(&mut self, kind: Option<&str>, name: Option<&str>) -> Result<(), CtlError> {
        if let (Some(kind), Some(name)) = (kind, name) {
            let path = format!("/v1/resources/{kind}/{name}");
            let item: ResourceItem = self.control.call(Method::GET, &path, Bytes::new()).await?;
            if self.args.json {
                return self.print_json(&item);
            }
            write!(self.out, "{}", items_table(std::slice::from_ref(&item)))?;
            let spec = serde_json::to_string_pretty(&item.resource.spec)?;
            writeln!(self.out, "{spec}")?;
            return Ok(());
        }
        let path = match kind {
            Some(kind) => format!("/v1/resources/{kind}"),
            None => "/v1/resources".to_owned(),
        };
        let list = self.list(&path).await?;
        if self.args.json {
            return self.print_json(&list);
        }
        write!(self.out, "{}", items_table(&list.items))?;
        Ok(())
    }

    async fn watch(&mut self, wait_in_force: bool, deadline: Instant) -> Result<(), CtlError> {
        let json = self.args.json;
        match wait_in_force {
            true => wait_until_in_force(self.control, deadline, json, self.out).await,
            false => print_changes(self.control, deadline, json, self.out).await,
        }
    }

    async fn drain(&mut self, kind: DrainKind, name: &str) -> Result<(), CtlError> {
        let drain = drain_name(kind, name)?;
        let change = ChangeBody {
            kind: Kind::Drain.to_string(),
            name: drain.to_string(),
            spec: json!({"target": {"type": kind.to_string(), "name": name}}),
            based_on: None,
        };
        let applied = self.send_apply(vec![change], false, false).await?;
        if self.args.json {
            return self.print_json(&applied);
        }
        writeln!(self.out, "drain/{drain} revision {}", applied.revision)?;
        Ok(())
    }

    async fn undrain(&mut self, kind: DrainKind, name: &str) -> Result<(), CtlError> {
        let path = format!("/v1/resources/drain/{}", drain_name(kind, name)?);
        let item: ResourceItem = self.control.call(Method::GET, &path, Bytes::new()).await?;
        let body = DeleteBody {
            request_id: self.request_id(),
            based_on: item.resource.version,
        };
        let deleted: Deleted = self
            .change(Method::DELETE, &path, &body.request_id, &body)
            .await?;
        if self.args.json {
            return self.print_json(&deleted);
        }
        let key = item.resource.key();
        writeln!(self.out, "{key} withdrawn, revision {}", deleted.revision)?;
        Ok(())
    }
}

/// The name of the drain of one target: its type and name, such as `failure-domain-gauteng-a`.
fn drain_name(kind: DrainKind, name: &str) -> Result<ResourceName, CtlError> {
    let prefix = kind.to_string().replace('_', "-");
    Ok(ResourceName::new(&format!("{prefix}-{name}"))?)
}

fn items_table(items: &[ResourceItem]) -> Table {
    let mut table = Table::new(&["RESOURCE", "VERSION", "REVISION", "STATE", "WAITS FOR"]);
    for item in items {
        table.push([
            item.resource.key().to_string(),
            item.resource.version.to_string(),
            item.resource.revision.to_string(),
            item.status.state.to_string(),
            status_line(&item.status),
        ]);
    }
    table
}
