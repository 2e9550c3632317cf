//! A requester's session.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// How a statement ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// `COMPLETE`, with the state after it.
    Done(String),
    /// The error's code, with the state after it.
    Error(String, String),
    /// The connection ended without a complete answer.
    Cut,
}

pub struct Caller {
    read: BufReader<TcpStream>,
    write: TcpStream,
}

impl Caller {
    /// Opens a session; `None` if it is not ready within two seconds.
    pub fn open(address: SocketAddr, host: &str, key: &str) -> Option<Caller> {
        let write = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        write.set_nodelay(true).ok()?;
        write.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let read = BufReader::new(write.try_clone().ok()?);
        let mut caller = Caller { read, write };
        caller.write.write_all(format!("START {host} {key}\r\n").as_bytes()).ok()?;
        let mut line = String::new();
        caller.read.read_line(&mut line).ok()?;
        caller.write.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
        line.starts_with("READY").then_some(caller)
    }

    /// Sends a statement and waits for its answer.
    pub fn query(&mut self, id: &str, text: &str) -> Answer {
        if self.write.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
            return Answer::Cut;
        }
        let mut outcome = None;
        loop {
            let mut line = String::new();
            if !matches!(self.read.read_line(&mut line), Ok(len) if len > 0) {
                return Answer::Cut;
            }
            let fields: Vec<&str> = line.trim_end().splitn(3, ' ').collect();
            match &*fields {
                ["COMPLETE", ..] => outcome = Some(None),
                ["ERROR", code, ..] => outcome = Some(Some((*code).to_owned())),
                ["READY", state, ..] => {
                    let state = (*state).to_owned();
                    return match outcome {
                        Some(None) => Answer::Done(state),
                        Some(Some(code)) => Answer::Error(code, state),
                        None => Answer::Cut,
                    };
                }
                _ => {}
            }
        }
    }
}
