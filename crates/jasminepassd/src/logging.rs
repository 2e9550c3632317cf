//! The structured log, written to standard error by a separate thread.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::settings::{LogFormat, Settings};

/// Creates the logger. Every record names the VM and its incarnation.
pub fn logger(settings: &Settings) -> Logger {
    let drain = match settings.log_format {
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr());
            slog_async::Async::new(Mutex::new(json).fuse()).build().fuse()
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            slog_async::Async::new(slog_term::FullFormat::new(decorator).build().fuse())
                .build()
                .fuse()
        }
    };
    let incarnation = settings.incarnation.0;
    Logger::root(drain, o!("vm" => settings.vm.to_string(), "incarnation" => incarnation))
}
