//! The demo: runs the full Wirecraft example under load, drains upstreams, kills an entry and the
//! leading control replica, and checks every invariant over the records.

use crate::{
    checker::Verdict,
    deployment::{Deployment, Network, Reservation, WIRECRAFT, control_name, entry_name},
    process::Binaries,
    record::Request,
    report::{Table, summary},
    testbed::{Testbed, TestbedError},
};
use std::{fmt::Display, path::PathBuf, time::Duration};

/// Microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;
/// The timeout of each wait of the demo.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How many more requests must finish before the next step.
const STEP_REQUESTS: u64 = 2_000;
/// The VM whose entry is killed. It runs no control replica.
const KILLED_ENTRY_VM: u8 = 4;

/// The options of the command `standin demo`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The folder with the declarations to apply.
    pub declarations: PathBuf,
    /// The second octet of the loopback addresses.
    pub network: u8,
    /// Whether to keep the deployment running, without callers, until the demo is interrupted.
    pub hold: bool,
    /// Whether to keep the folder with settings, logs and data.
    pub keep: bool,
}

/// Runs the demo and returns whether every invariant held and at least one request finished.
///
/// # Errors
///
/// [`TestbedError`] if a step fails.
pub async fn run(options: &Options) -> Result<bool, TestbedError> {
    let network = Reservation::new(Network::new(options.network, 1))?;
    let mut deployment = Deployment::new(Binaries::find()?, network).await?;
    if options.keep {
        println!("files kept in {}", deployment.keep_files().display());
    }
    let mut testbed = Testbed::start(deployment, &options.declarations, &WIRECRAFT).await?;
    print_step(&testbed, "every resource is in force on every entry");
    let requests = send_through_failures(&mut testbed).await?;
    let verdict = testbed.check_invariants(&requests).await;
    if options.hold {
        println!("\n{}\nholding until interrupted", Table::new(&requests));
        std::future::pending::<()>().await;
    }
    for name in testbed.stop_all().await? {
        println!("{name} did not exit with code 0");
    }
    print_results(&requests, &verdict);
    Ok(verdict.passed())
}

async fn send_through_failures(testbed: &mut Testbed) -> Result<Vec<Request>, TestbedError> {
    let callers = testbed.callers(&WIRECRAFT)?;
    callers
        .wait_for_finished(STEP_REQUESTS, WAIT_TIMEOUT)
        .await?;

    print_step(testbed, "draining browse-1 with a declaration");
    testbed.drain("browse-1").await?;
    callers
        .wait_for_finished(STEP_REQUESTS, WAIT_TIMEOUT)
        .await?;

    print_step(testbed, "order-2 announces that it leaves");
    testbed.leave("order-2").await?;
    callers
        .wait_for_finished(STEP_REQUESTS, WAIT_TIMEOUT)
        .await?;

    print_step(
        testbed,
        format_args!("killing {}", entry_name(KILLED_ENTRY_VM)),
    );
    testbed.kill_entry(KILLED_ENTRY_VM).await?;
    callers
        .wait_for_finished(STEP_REQUESTS, WAIT_TIMEOUT)
        .await?;

    let killed = control_name(testbed.kill_leader().await?);
    print_step(testbed, format_args!("killed {killed}, the leader"));
    let leader = control_name(testbed.deployment.wait_for_leader(WAIT_TIMEOUT).await?);
    print_step(testbed, format_args!("{leader} leads; draining stock-3"));
    testbed.drain("stock-3").await?;
    callers
        .wait_for_finished(STEP_REQUESTS, WAIT_TIMEOUT)
        .await?;
    print_step(testbed, "stopping the callers");
    Ok(callers.stop().await)
}

/// Prints a step with the seconds since the testbed's clock started.
fn print_step(testbed: &Testbed, step: impl Display) {
    let seconds = testbed.clock.now_us().0 as f64 / US_PER_S;
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
