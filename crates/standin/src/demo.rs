//! The demo: the Wirecraft deployment at its sizes, through drains and failures.

use crate::{
    checker::Verdict,
    deployment::{Deployment, Network, Reservation, WIRECRAFT, control_name, entry_name},
    process::Binaries,
    record::Request,
    report::{Table, summary},
    stage::{Stage, StageError},
};
use std::{fmt::Display, path::PathBuf, time::Duration};

/// Microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;
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
    /// The second part of its addresses.
    pub network: u8,
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
    let network = Reservation::new(Network::new(options.network, 1))?;
    let mut deployment = Deployment::new(Binaries::find()?, network).await?;
    if options.keep {
        println!("files kept in {}", deployment.keep().display());
    }
    let mut stage = Stage::set(deployment, &options.declarations, &WIRECRAFT).await?;
    announce(&stage, "every resource is in force on every entry");
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

    announce(stage, "draining browse-1 by a declaration");
    stage.drain("browse-1").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    announce(stage, "order-2 announces that it leaves");
    stage.leave("order-2").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    announce(
        stage,
        format_args!("killing {}", entry_name(KILLED_ENTRY_VM)),
    );
    stage.kill_entry(KILLED_ENTRY_VM).await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;

    let killed = control_name(stage.kill_leader().await?);
    announce(stage, format_args!("killed {killed}, which led"));
    let leader = control_name(stage.deployment.leader(BOUND).await?);
    announce(stage, format_args!("{leader} leads; draining stock-3"));
    stage.drain("stock-3").await?;
    callers.more_finished(STEP_REQUESTS, BOUND).await?;
    announce(stage, "stopping the callers");
    Ok(callers.stop().await)
}

/// Prints a step with the seconds since the records began.
fn announce(stage: &Stage, step: impl Display) {
    let seconds = stage.clock.now_us().0 as f64 / US_PER_S;
    println!("{seconds:>6.1} s  {step}");
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
