//! The task that announces an upstream to one entry, renews the announcement and changes to the
//! next entry when one fails.

use crate::{
    http::{Connection, HttpError},
    upstream::{UpstreamSpec, owner::Status},
};
use hyper::{Method, StatusCode};
use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use thiserror::Error;
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};
use types::{AnnounceAnswer, Announcement, UpstreamState};

/// The timeout of an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause after a failed announcement, before the next entry is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Error)]
enum AnnounceError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("the entry answered the announcement with status {0}")]
    Status(StatusCode),
    #[error("the body is not an announcement's answer")]
    Answer(#[from] serde_json::Error),
}

pub(super) async fn announce(
    spec: UpstreamSpec,
    entries: Vec<SocketAddr>,
    mut status: watch::Receiver<Status>,
) {
    let path = format!("/v1/upstreams/{}", spec.name);
    let mut announcement = first_announcement(&spec);
    for entry in entries
        .iter()
        .cycle()
        .skip(first_entry(&spec, entries.len()))
    {
        let mut connection = Connection::new(*entry);
        loop {
            let current = *status.borrow_and_update();
            announcement.sequence += 1;
            announcement.state = current.state;
            announcement.load = current.load;
            let Ok(answer) = send_announcement(&mut connection, &path, &announcement).await else {
                break;
            };
            let renew_at = Instant::now() + Duration::from_millis(answer.renew_within_ms * 3 / 4);
            if wait_for_renewal(&mut status, current.state, renew_at)
                .await
                .is_err()
            {
                return;
            }
        }
        sleep_until(Instant::now() + RETRY_PAUSE).await;
    }
}

/// The index of the first entry to try, which depends on the name to spread upstreams over entries.
fn first_entry(spec: &UpstreamSpec, entries: usize) -> usize {
    let sum: usize = spec.name.as_str().bytes().map(usize::from).sum();
    sum.checked_rem(entries).unwrap_or(0)
}

fn first_announcement(spec: &UpstreamSpec) -> Announcement {
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Announcement {
        service: spec.service.clone(),
        address: spec.address,
        region: spec.region.clone(),
        failure_domain: spec.failure_domain.clone(),
        slots: spec.slots,
        connections: spec.connections,
        load: 0,
        state: UpstreamState::Starting,
        epoch_ms: u64::try_from(epoch.as_millis()).unwrap_or(u64::MAX),
        sequence: 0,
    }
}

async fn send_announcement(
    connection: &mut Connection,
    path: &str,
    announcement: &Announcement,
) -> Result<AnnounceAnswer, AnnounceError> {
    let (status, body) = connection
        .json(Method::PUT, path, Some(announcement), ANSWER_TIMEOUT)
        .await?;
    if status != StatusCode::OK {
        return Err(AnnounceError::Status(status));
    }
    Ok(serde_json::from_value(body)?)
}

/// Waits until `renew_at` or until the state differs from the announced one. Fails when the
/// upstream has ended.
async fn wait_for_renewal(
    status: &mut watch::Receiver<Status>,
    announced: UpstreamState,
    renew_at: Instant,
) -> Result<(), watch::error::RecvError> {
    tokio::select! {
        () = sleep_until(renew_at) => Ok(()),
        changed = status.wait_for(|status| status.state != announced) => changed.map(|_| ()),
    }
}
