//! The entry point of `jasminepassctl`: runs one command, prints its result and exits with its code.

use std::process::ExitCode;

use eyre::WrapErr;
use jasminepassctl::{command, error::CtlError, reply::Reply, run};

fn main() -> eyre::Result<ExitCode> {
    let matches = command::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the async runtime")?;
    let result = runtime.block_on(run::run(&matches));
    let is_json = command::wants_json(&matches);
    Ok(show(result, is_json))
}

fn show(result: Result<Reply, CtlError>, is_json: bool) -> ExitCode {
    match result {
        Ok(reply) => {
            print!("{}", reply.render(is_json));
            ExitCode::from(reply.code)
        }
        Err(error) => {
            eprintln!("{}", error.render(is_json));
            ExitCode::from(error.code())
        }
    }
}
