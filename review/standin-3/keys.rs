//! A manifest withdraws the last key.

use crate::deployment::{Deployment, GATEWAY, Record, Result, Worker, exchange, has_trouble};
use std::{thread, time::Duration};

/// `revoke_s` of the site.
const REVOKE: Duration = Duration::from_secs(5);

const KEY: &str = "k-5f27c1";

fn manifest(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":"r{version}","routes":{{"r-1":{{"host":"filing.example","path_prefix":"/file/","kind":"unsafe","timeout_s":12,"target_latency_s":1.5,"priority":1,"service":"registro","max_attempts":2,"sticky":false,"home_regions":[]}}}},"services":{{"registro":{{"health_check":"/health","max_connections":1770,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":2.9}}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"tenants":{tenants}}}"#
    )
}

pub fn run(record: &Record) -> Result<bool> {
    let values = [("bounds.strict_revoke", "true"), ("bounds.revoke_s", "5")];
    let deployment = Deployment::start(record, &values)?;
    let tenants = format!(r#"{{"fondo-a":{{"api_keys":["{KEY}"]}}}}"#);
    deployment.call("/rpc?call=config.put", Some("0"), &manifest(1, &tenants))?;
    let ip = deployment.network.ip(21);
    let worker = Worker::start(record, "i-1", &ip, 9, Duration::from_millis(100))?;
    let heartbeat = || {
        let body = worker.heartbeat("registro", "jhb-a", 9, "ready");
        deployment.call("/rpc?call=instances.heartbeat&of=i-1", None, &body)
    };
    heartbeat()?;
    deployment.wait_ready(GATEWAY)?;
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(1_200));
        heartbeat()?;
    }
    let file = |attempt: &str, key: Option<&str>| -> Result<u16> {
        let key = key.map(|key| format!("Authorization: Bearer {key}\r\n"));
        let text = format!(
            "POST /file/1 HTTP/1.1\r\nHost: filing.example\r\nX-Attempt-Id: {attempt}\r\n{}\
             X-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 5\r\n\r\nprice",
            key.unwrap_or_default()
        );
        let front = deployment.network.front(GATEWAY);
        let answer = exchange(front, text.as_bytes(), Duration::from_secs(5));
        let status = answer.map_err(|error| error.to_string())?.status;
        record.line(format!("client: {attempt} is answered {status}"));
        Ok(status)
    };
    if file("before", Some(KEY))? != 200 {
        return Err("the key isn't accepted before its withdrawal".to_owned());
    }
    if has_trouble() {
        let answer = deployment.call("/rpc?call=config.put", Some("r1"), &manifest(2, "{}"))?;
        record.line(format!(
            "the manifest without tenants is answered {}",
            answer.status
        ));
        if answer.status != 200 {
            return Ok(true);
        }
    }
    for _ in 0..6 {
        thread::sleep(Duration::from_millis(1_100));
        heartbeat()?;
    }
    thread::sleep(REVOKE / 10);
    file("after", Some(KEY))?;
    file("unknown", Some("k-never-held"))?;
    let mut held = true;
    for run in worker.runs() {
        record.line(format!(
            "worker ran {}: tenant {:?}, key passed on: {}",
            run.attempt,
            run.tenant,
            run.key.is_some()
        ));
        let is_withdrawn = has_trouble() && run.attempt == "after";
        held &= !is_withdrawn && run.attempt != "unknown";
    }
    Ok(held)
}
