//! Requests to a deployment's control replicas, over HTTP and with the command line.

use crate::{
    condition::{Pending, wait_for_answer, wait_until},
    deployment::{CONTROL_VMS, Deployment, DeploymentError, file_error, write},
    http::Connection,
    process::run_command,
};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::{fs, net::SocketAddr, path::Path, time::Duration};

/// The timeout of a request to a control replica.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

impl Deployment {
    /// Waits for a leader and returns its VM.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::WaitTimedOut`] when no replica leads within `wait_timeout`.
    pub async fn wait_for_leader(&self, wait_timeout: Duration) -> Result<u8, DeploymentError> {
        let leader = wait_until("a control replica to lead", wait_timeout, || async {
            let mut last_failure = Pending::new("no replica answers as leader");
            for vm in CONTROL_VMS {
                match confirm_leader(self.network().control(vm)).await {
                    Ok(()) => return Ok(vm),
                    Err(pending) => last_failure = pending,
                }
            }
            Err(last_failure)
        })
        .await?;
        Ok(leader)
    }

    /// Waits until `GET /ready` at an address succeeds.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::WaitTimedOut`] when it doesn't within `wait_timeout`.
    pub async fn wait_until_ready(
        &self,
        address: SocketAddr,
        wait_timeout: Duration,
    ) -> Result<(), DeploymentError> {
        wait_for_answer(address, "/ready", wait_timeout, |status, _| {
            status.is_success()
        })
        .await?;
        Ok(())
    }

    /// Waits until there are declared resources and all are in force; returns their number.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::WaitTimedOut`] when one isn't within `wait_timeout`.
    pub async fn wait_until_in_force(
        &self,
        wait_timeout: Duration,
    ) -> Result<usize, DeploymentError> {
        let count = wait_until("every resource to be in force", wait_timeout, || async {
            let list = self.read_any("/v1/resources").await?;
            let items = list["items"].as_array().map_or(&[][..], Vec::as_slice);
            match items
                .iter()
                .find(|item| item["status"]["state"] != "in_force")
            {
                Some(item) => Err(Pending::new(item)),
                None if items.is_empty() => Err(Pending::new("no resources")),
                None => Ok(items.len()),
            }
        })
        .await?;
        Ok(count)
    }

    /// Reads a path with GET from the first control replica that answers with status 200.
    ///
    /// # Errors
    ///
    /// [`Pending`] with the answer or error of the last replica.
    pub async fn read_any(&self, path: &str) -> Result<Value, Pending> {
        let mut last_failure = Pending::new("no control replica answers");
        for address in self.network().controls() {
            let answer = Connection::new(address)
                .json::<()>(Method::GET, path, None, CONTROL_TIMEOUT)
                .await;
            match answer {
                Ok((StatusCode::OK, body)) => return Ok(body),
                Ok((status, body)) => last_failure = Pending::new(format!("{status} {body}")),
                Err(error) => last_failure = error.into(),
            }
        }
        Err(last_failure)
    }

    /// Applies a folder of declarations, with the examples' addresses replaced by this network's.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] when the declarations can't be read or are rejected.
    pub async fn apply(&self, declarations: &Path) -> Result<(), DeploymentError> {
        let folder = self.folder().join("declarations");
        fs::create_dir_all(&folder).map_err(file_error(&folder))?;
        for file in fs::read_dir(declarations).map_err(file_error(declarations))? {
            let path = file.map_err(file_error(declarations))?.path();
            let text = fs::read_to_string(&path).map_err(file_error(&path))?;
            let copy = folder.join(path.file_name().unwrap_or_default());
            write(&copy, &self.network().translate(&text))?;
        }
        self.run_ctl(&["apply", "-f", &*folder.to_string_lossy()])
            .await?;
        Ok(())
    }

    /// Runs `oleanderctl` with the addresses of all control replicas and these arguments. Returns
    /// its standard output.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::Process`] when it fails or takes too long.
    pub async fn run_ctl(&self, arguments: &[&str]) -> Result<String, DeploymentError> {
        let controls: Vec<String> = self
            .network()
            .controls()
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        let servers = controls.join(",");
        let mut full_arguments = vec!["--servers", &*servers];
        full_arguments.extend_from_slice(arguments);
        Ok(run_command(&self.binaries.ctl(), &full_arguments).await?)
    }
}

/// Sends a dry run of an empty change, which only the leader accepts.
async fn confirm_leader(control: SocketAddr) -> Result<(), Pending> {
    let empty_change =
        json!({"request_id": "leader", "prune": false, "dry_run": true, "changes": []});
    let (status, body) = Connection::new(control)
        .json(
            Method::POST,
            "/v1/apply",
            Some(&empty_change),
            CONTROL_TIMEOUT,
        )
        .await?;
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(Pending::new(format!("{status} {body}")))
}
