//! The commands `replicas` and `admit`: the control replicas, and the replacement of a lost one.

use crate::{
    call::ControlClient,
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

/// How long one server may take to answer with its view.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How often `admit` fetches the views again while it waits.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// One server's view of the replicas; none when it gave no readable answer.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct View {
    server: String,
    replicas: Option<Replicas>,
}

impl View {
    /// This server's view if it leads, has applied its latest membership, and that membership has
    /// the admitted replica as a voter and no longer the one that it replaces. An applied membership
    /// is committed, so a new leader can't undo it.
    fn confirming_leader_view(&self, admitted: &AdmitBody) -> Option<&Replicas> {
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

async fn request_replicas(
    control: &ControlClient,
    server: &str,
) -> Result<ClientAnswer, ClientError> {
    control
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

async fn fetch_views(control: &ControlClient) -> Result<Vec<View>, CtlError> {
    let mut views = Vec::new();
    let mut failure = None;
    for server in control.servers() {
        let replicas = match request_replicas(control, server).await {
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
pub(crate) async fn show(
    control: &ControlClient,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let views = fetch_views(control).await?;
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

/// Waits for the replica with this name to answer, admits it, and waits until it votes.
pub(crate) async fn admit(
    control: &mut ControlClient,
    name: &str,
    deadline: Instant,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), CtlError> {
    let body = loop {
        match admit_body(&fetch_views(control).await?, name)? {
            Some(body) => break body,
            None if Instant::now() + POLL_PERIOD >= deadline => {
                return Err(CtlError::NoLearner {
                    name: name.to_owned(),
                });
            }
            None => sleep(POLL_PERIOD).await,
        }
    };
    let json_body = serde_json::to_vec(&body)?.into();
    control
        .call::<Replicas>(Method::POST, "/v1/replicas", json_body)
        .await?;
    let admitted = loop {
        let views = fetch_views(control).await?;
        match views
            .iter()
            .find_map(|view| view.confirming_leader_view(&body))
        {
            Some(view) => break view.clone(),
            None if Instant::now() + POLL_PERIOD >= deadline => {
                return Err(CtlError::NotVoting {
                    name: name.to_owned(),
                });
            }
            None => sleep(POLL_PERIOD).await,
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

/// The request that admits the replica with this name. None while no replica of that name that is
/// not a voter has answered.
fn admit_body(views: &[View], name: &str) -> Result<Option<AdmitBody>, CtlError> {
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
