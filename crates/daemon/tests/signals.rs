//! Signals while the daemon starts, and a stop while nobody reads its log.

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// How long a step may take at most.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a stop may take at most, with a grace period of 2 s and other tests on the machine.
const STOP_MAX: Duration = Duration::from_secs(5);

/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The bits of SIGHUP, SIGINT and SIGTERM in the kernel's mask of handled signals.
const HANDLED: u64 = 1 | 1 << 1 | 1 << 14;

/// What a process runs.
#[derive(Clone, Copy)]
enum Role {
    /// A gateway that finds no replica.
    Gateway,
    /// A control replica without peers.
    Replica,
}

/// A running daemon, killed when dropped.
struct Daemon {
    _folder: TempDir,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}

fn settings(role: Role, folder: &Path) -> String {
    let folder = folder.display();
    let [first, second, other] = [(); 3].map(|()| unused_address());
    let deployment =
        format!("[deployment]\nname = w\nfailure_domains = ga\nkey_file = {folder}/key\n");
    let role = match role {
        Role::Gateway => format!(
            "[node]\nname = 127.0.0.1\nrole = gateway\nregion = g\nfailure_domain = ga\n\
             [gateway]\nlisten = {first}\nstatus_listen = {second}\ndescriptors_max = 4000\n\
             [discovery]\nseeds = {other}\npeer_port = {}\n\
             [bounds]\ngrace_s = 2\n[regions]\nga = g\n",
            other.port(),
        ),
        Role::Replica => format!(
            "[node]\nname = vm-1\nrole = control\nregion = g\nfailure_domain = ga\n\
             [control]\nlisten = {first}\npeer_listen = {second}\ndata = {folder}/data\n\
             [replicas]\nvm-1 = {second} {first}\n",
        ),
    };
    deployment + &role
}

impl Daemon {
    fn start(role: Role, output: impl Into<Stdio>) -> Self {
        let folder = tempfile::tempdir().expect("a scratch folder");
        let path = folder.path().join("vm.ini");
        fs::write(folder.path().join("key"), "k".repeat(32)).expect("a key file");
        fs::create_dir(folder.path().join("data")).expect("a data folder");
        fs::write(&path, settings(role, folder.path())).expect("settings");
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderwelld"));
        command.arg("--settings").arg(path).stdout(output);
        Self {
            _folder: folder,
            child: command.spawn().expect("it starts"),
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// The mask of the signals that the process handles.
    fn handled_signals(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("it runs");
        let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.expect("the kernel states it")
    }

    fn wait_for_end(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

// The handler of SIGHUP was set once all roles had started, so that a signal before that ended the
// process.
#[test]
fn every_signal_is_handled_before_the_first_line_of_the_log() {
    let (mut reader, writer) = io::pipe().expect("a pipe");
    let replica = Daemon::start(Role::Replica, writer);
    let mut first = [0];
    reader.read_exact(&mut first).expect("a line of the log");
    assert_eq!(replica.handled_signals() & HANDLED, HANDLED);
}

/// Fills a pipe and keeps its reading end open.
fn full_pipe() -> (io::PipeReader, io::PipeWriter) {
    let (reader, writer) = io::pipe().expect("a pipe");
    let mut filler = writer.try_clone().expect("a second writer");
    let (progress, written) = mpsc::channel();
    thread::spawn(
        move || {
            while filler.write_all(&[b'x'; 256]).is_ok() && progress.send(()).is_ok() {}
        },
    );
    // The thread waits for ever once the pipe is full.
    while written.recv_timeout(Duration::from_millis(200)).is_ok() {}
    (reader, writer)
}

// The process waited at its end for the thread that writes the log.
#[test]
fn a_stop_ends_while_nobody_reads_the_log() {
    let (_reader, writer) = full_pipe();
    let mut gateway = Daemon::start(Role::Gateway, writer);
    let until = Instant::now() + WAIT_TIMEOUT;
    while gateway.handled_signals() & HANDLED != HANDLED {
        assert!(Instant::now() < until, "the handlers are not set");
        thread::sleep(POLL_INTERVAL);
    }
    gateway.signal("TERM");
    let status = gateway.wait_for_end(STOP_MAX);
    assert!(status.expect("it ends by itself").success());
}
