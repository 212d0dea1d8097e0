//! The `oleanderctl` binary: parses the arguments, runs the command, exits with its code.

use ctl::{ExitCode, HELP, Parsed, parse, run};
use std::{env, io, process};

fn main() -> process::ExitCode {
    let parsed = match parse(env::args_os().skip(1)) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("oleanderctl: {error}");
            return to_process_code(ExitCode::Usage);
        }
    };
    match parsed {
        Parsed::Help => print!("{HELP}"),
        Parsed::Version => println!("oleanderctl {}", env!("CARGO_PKG_VERSION")),
        Parsed::Run(args) => {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            else {
                return to_process_code(ExitCode::Failed);
            };
            return match runtime.block_on(run(&args, &mut io::stdout())) {
                Ok(exit_code) => to_process_code(exit_code),
                Err(error) => {
                    eprintln!("oleanderctl: {error}");
                    to_process_code(error.exit_code())
                }
            };
        }
    }
    to_process_code(ExitCode::Done)
}

fn to_process_code(exit_code: ExitCode) -> process::ExitCode {
    process::ExitCode::from(exit_code as u8)
}
