//! Control replicas and their replacement.

use crate::{
    call::Caller,
    client::{ClientAnswer, ClientError},
    error::CtlError,
    table::Table,
};
use api::AdmitBody;
use bytes::Bytes;
use control::Replicas;
use hyper::Method;
use raft::{ReplicaId, Role};
use serde::Serialize;
use std::{io::Write, time::Duration};
use tokio::time::{Instant, sleep};
use types::ResourceName;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a replica that does not answer yet is asked again.
const ASK_PERIOD: Duration = Duration::from_millis(250);

/// What one server says of the replicas.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct View {
    server: String,
    replicas: Option<Replicas>,
}

impl View {
    /// The view of a leader under which the admitted replica votes for good.
    fn where_votes(&self, admitted: &AdmitBody) -> Option<&Replicas> {
        let id = ReplicaId {
            name: admitted.name.to_string(),
            incarnation: admitted.incarnation,
        };
        self.replicas.as_ref().filter(|view| {
            let voters = &view.membership.voters;
            view.role == Role::Leader
                && view.applied_index >= view.membership_index
                && voters.contains(&id)
                && admitted
                    .replaces
                    .as_ref()
                    .is_none_or(|old| !voters.contains(old))
        })
    }
}

async fn ask(caller: &Caller, server: &str) -> Result<ClientAnswer, ClientError> {
    caller
        .client()
        .send(
            server,
            Method::GET,
            "/v1/replicas",
            Bytes::new(),
            ANSWER_TIMEOUT,
        )
        .await
}

async fn views(caller: &Caller) -> Result<Vec<View>, CtlError> {
    let mut views = Vec::new();
    let mut failure = None;
    for server in caller.servers() {
        let replicas = match ask(caller, server).await {
            Ok(answer) => serde_json::from_slice(&answer.body).ok(),
            Err(error) => {
                failure = Some(error);
                None
            }
        };
        views.push(View {
            server: server.clone(),
            replicas,
        });
    }
    match failure {
        Some(error) if views.iter().all(|view| view.replicas.is_none()) => {
            Err(CtlError::Unreachable(error))
        }
        _ => Ok(views),
    }
}

/// Prints each server's view of the replicas.
pub(crate) async fn show(caller: &Caller, json: bool, out: &mut dyn Write) -> Result<(), CtlError> {
    let views = views(caller).await?;
    if json {
        writeln!(out, "{}", serde_json::to_string(&views)?)?;
        return Ok(());
    }
    let mut table = Table::new(&[
        "SERVER", "REPLICA", "ROLE", "TERM", "LEADER", "LAST", "APPLIED", "VOTERS", "LEARNERS",
    ]);
    for View { server, replicas } in views {
        match replicas {
            None => table.push([server, "unreachable".to_owned()]),
            Some(view) => table.push([
                server,
                view.replica.to_string(),
                format!("{:?}", view.role).to_lowercase(),
                view.term.to_string(),
                view.leader.map_or("-".to_owned(), |it| it.to_string()),
                view.last_index.to_string(),
                view.applied_index.to_string(),
                ids(view.membership.voters.iter()),
                ids(view.membership.learners.iter()),
            ]),
        }
    }
    write!(out, "{table}")?;
    Ok(())
}

fn ids<'a>(ids: impl Iterator<Item = &'a ReplicaId>) -> String {
    ids.map(ReplicaId::to_string).collect::<Vec<_>>().join(",")
}

/// Admits the replica with this name that does not vote yet, and waits until it does.
pub(crate) async fn admit(
    caller: &mut Caller,
    name: &str,
    deadline: Instant,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let body = loop {
        match admission(&views(caller).await?, name)? {
            Some(body) => break body,
            None if Instant::now() + ASK_PERIOD >= deadline => {
                return Err(CtlError::NoLearner {
                    name: name.to_owned(),
                });
            }
            None => sleep(ASK_PERIOD).await,
        }
    };
    let json_body = serde_json::to_vec(&body)?.into();
    caller
        .call::<Replicas>(Method::POST, "/v1/replicas", json_body)
        .await?;
    let admitted = loop {
        let views = views(caller).await?;
        match views.iter().find_map(|view| view.where_votes(&body)) {
            Some(view) => break view.clone(),
            None if Instant::now() + ASK_PERIOD >= deadline => {
                return Err(CtlError::NotVoting {
                    name: name.to_owned(),
                });
            }
            None => sleep(ASK_PERIOD).await,
        }
    };
    if json {
        writeln!(out, "{}", serde_json::to_string(&admitted)?)?;
        return Ok(());
    }
    writeln!(
        out,
        "{name} votes; voters {}",
        ids(admitted.membership.voters.iter())
    )?;
    Ok(())
}

/// What admits the replica with this name, when it answers and is no voter.
fn admission(views: &[View], name: &str) -> Result<Option<AdmitBody>, CtlError> {
    let views: Vec<&Replicas> = views.iter().filter_map(|it| it.replicas.as_ref()).collect();
    let Some(latest) = views.iter().max_by_key(|view| view.membership_index) else {
        return Ok(None);
    };
    let voters = &latest.membership.voters;
    let mut answering = views.iter().map(|view| &view.replica);
    let Some(id) = answering.find(|id| id.name == name && !voters.contains(id)) else {
        return Ok(None);
    };
    Ok(Some(AdmitBody {
        name: ResourceName::new(name)?,
        incarnation: id.incarnation,
        replaces: voters.iter().find(|voter| voter.name == name).cloned(),
    }))
}
