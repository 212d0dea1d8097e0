//! Entry point of the `oleanderwelld` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
