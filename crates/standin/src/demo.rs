//! The demo: the Wirecraft deployment at its sizes, through drains and failures.

use crate::{
    checker::Verdict,
    deployment::{Deployment, Network, WIRECRAFT, control_name, entry_name},
    process::Binaries,
    record::Request,
    report::{Table, summary},
    stage::{Stage, StageError},
};
use std::{path::PathBuf, time::Duration};

/// The bound of each wait of the demo.
const BOUND: Duration = Duration::from_secs(20);
/// Requests that finish between two steps of the demo.
const STEP_REQUESTS: u64 = 2_000;
/// The entry that is killed; its VM runs no control replica.
const KILLED_ENTRY_VM: u8 = 4;

/// What the demo is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// The folder of the declarations.
    pub declarations: PathBuf,
    /// Go on with the deployment, without callers, until interrupted.
    pub hold: bool,
    /// Leave settings, logs and data in place.
    pub keep: bool,
}

/// Runs the demo and returns whether every invariant held.
///
/// # Errors
///
/// [`StageError`] when a step fails.
pub async fn run(options: &Options) -> Result<bool, StageError> {
    let mut deployment = Deployment::new(Binaries::find()?, Network::new(0, 1)).await?;
    if options.keep {
        println!("files kept in {}", deployment.keep().display());
    }
    let mut stage = Stage::set(deployment, &options.declarations, &WIRECRAFT).await?;
    println!("every resource is in force on every entry");
    let requests = send_through_failures(&mut stage).await?;
    let verdict = stage.judge(&requests).await;
    if options.hold {
        println!("\n{}\nholding until interrupted", Table::new(&requests));
        std::future::pending::<()>().await;
    }
    for name in stage.stop_all().await? {
        println!("{name} did not exit with 0");
    }
    print_results(&requests, &verdict);
    Ok(verdict.holds())
}

async fn send_through_failures(stage: &mut Stage) -> Result<Vec<Request>, StageError> {
    let callers = stage.callers(&WIRECRAFT)?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    println!("draining browse-1 by a declaration");
    stage.drain("browse-1").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    println!("order-2 announces that it leaves");
    stage.leave("order-2").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    println!("killing {}", entry_name(KILLED_ENTRY_VM));
    stage.kill_entry(KILLED_ENTRY_VM).await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    let killed = stage.kill_leader().await?;
    let leader = stage.deployment.leader(BOUND).await?;
    println!(
        "killed {}, which led; {} leads now",
        control_name(killed),
        control_name(leader)
    );
    stage.drain("stock-3").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;
    Ok(callers.stop().await)
}

fn print_results(requests: &[Request], verdict: &Verdict) {
    println!("\n{}", Table::new(requests));
    for violation in &verdict.violations {
        println!(
            "violated: {} by request {}",
            violation.invariant, violation.request.0
        );
    }
    println!("{}", summary(verdict));
}
