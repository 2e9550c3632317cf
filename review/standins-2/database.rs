//! The databases of one service, which speak the line protocol, and the platform's interface for promotions.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use crate::{Record, random};

/// How often replicas receive what is new in the primary's log.
const REPLICATION_PERIOD: Duration = Duration::from_millis(8);

pub const SERVICE: &str = "ledger";

#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    pub is_primary: bool,
    pub term: u64,
    /// Commits as term and id of the write, oldest first.
    pub log: Vec<(u64, String)>,
    pub is_up: bool,
    /// Unix millisecond of its start.
    pub born: u64,
    /// Whether it receives nothing from the primary.
    pub is_deaf: bool,
    /// Whether it was told to receive nothing until it is promoted or told to go on.
    pub is_paused: bool,
    /// Most commits that it receives in [`REPLICATION_PERIOD`].
    pub pace: usize,
}

impl Member {
    fn position(&self) -> String {
        format!("{}.{}", self.log.last().map_or(0, |(term, _)| *term), self.log.len())
    }
}

/// A statement that ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub database: usize,
    pub tenant: String,
    pub variables: BTreeMap<String, String>,
}

#[derive(Default)]
pub struct State {
    pub members: Vec<Member>,
    pub runs: Vec<Run>,
    /// Share of the requests that each database fails.
    pub failing: BTreeMap<usize, f64>,
    /// Databases that began to lead, and the commits that they had then.
    pub led: Vec<(usize, BTreeSet<String>)>,
    connections: BTreeMap<(usize, u64), TcpStream>,
    busy: Vec<usize>,
    next_connection: u64,
}

/// What the databases do.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub slots: usize,
    pub connections_max: usize,
    /// Least and greatest time of a statement, in milliseconds.
    pub work_ms: (u64, u64),
    pub promote_ms: u64,
    /// Whether a commit is acknowledged once a replica has received it.
    pub is_synchronous: bool,
}

#[derive(Clone)]
pub struct Databases {
    pub state: Arc<(Mutex<State>, Condvar)>,
    options: Options,
    record: Record,
    pub addresses: Vec<SocketAddr>,
}

pub fn name(index: usize) -> String {
    format!("db-{index}")
}

impl Databases {
    /// Starts `count` databases, of which the first one is the primary.
    pub fn start(count: usize, options: Options, record: &Record) -> Databases {
        let members = (0..count).map(|index| Member {
            name: name(index),
            is_primary: index == 0,
            term: 1,
            log: vec![(1, "start".to_owned())],
            is_up: true,
            born: 1_790_000_000_000 + index as u64,
            is_deaf: false,
            is_paused: false,
            pace: usize::MAX,
        });
        let state = State { members: members.collect(), busy: vec![0; count], ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let mut databases =
            Databases { state, options, record: record.clone(), addresses: Vec::new() };
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
            databases.addresses.push(listener.local_addr().expect("local address"));
            let own = databases.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let own = own.clone();
                    thread::spawn(move || own.serve(stream, index));
                }
            });
        }
        let own = databases.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(REPLICATION_PERIOD);
                own.replicate();
            }
        });
        databases
    }

    /// The entry of a database in the store.
    pub fn entry(&self, index: usize, zone: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let role = if state.members[index].is_primary { "primary" } else { "replica" };
        let (address, slots) = (self.addresses[index], self.options.slots);
        let born = state.members[index].born;
        format!(
            r#"{{"service":"{SERVICE}","address":"{address}","zone":"{zone}","version":"v1","capacity":{slots},"state":"ready","coldLeftMs":0,"dbRole":"{role}","sequence":4,"born":{born}}}"#
        )
    }

    fn replicate(&self) {
        let mut state = self.state.0.lock().unwrap();
        let primaries = state.members.iter().filter(|m| m.is_primary && m.is_up);
        let Some(source) = primaries.max_by_key(|m| m.term).cloned() else { return };
        for member in state.members.iter_mut().filter(|m| m.is_up && m.name != source.name) {
            let is_older = member.term < source.term || !member.is_primary;
            if member.is_deaf || member.is_paused || member.term > source.term || !is_older {
                continue;
            }
            member.is_primary = false;
            member.term = source.term;
            let same = member.log.iter().zip(&source.log).take_while(|(a, b)| a == b).count();
            member.log.truncate(same);
            member.log.extend(source.log.iter().skip(same).take(member.pace).cloned());
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Has a database crash, or start again with its log.
    pub fn set_up(&self, index: usize, is_up: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.members[index].is_up = is_up;
        if !is_up {
            state.connections.retain(|(at, _), stream| {
                if *at == index {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                *at != index
            });
        }
    }

    /// Has a database that crashed start again under its id: it holds and knows nothing of before, and receives the log
    /// anew, `pace` commits at a time.
    pub fn start_again(&self, index: usize, pace: usize) {
        let mut state = self.state.0.lock().unwrap();
        let member = &mut state.members[index];
        member.is_up = true;
        member.is_primary = false;
        member.is_paused = false;
        member.term = 0;
        member.log.clear();
        member.born += 60_000;
        member.pace = pace;
    }

    /// Whether a replica has received the first `count` commits.
    fn is_received(state: &State, index: usize, count: usize) -> bool {
        let replicas = state.members.iter().enumerate().filter(|(other, _)| *other != index);
        replicas.into_iter().any(|(_, member)| member.is_up && member.log.len() >= count)
    }

    /// Makes a database the primary of the next term after a while. Returns whether it runs.
    pub fn promote(&self, name: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        let found = state.members.iter().position(|member| member.name == name && member.is_up);
        let Some(index) = found else { return false };
        if state.members[index].is_primary {
            return true;
        }
        drop(state);
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(own.options.promote_ms));
            let mut state = own.state.0.lock().unwrap();
            let term = state.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
            let member = &mut state.members[index];
            if member.is_up && !member.is_primary {
                member.is_primary = true;
                member.is_paused = false;
                member.term = term;
                own.record.write(&format!(
                    "database {} leads term {term} with {} commits",
                    member.name,
                    member.log.len()
                ));
                let log = member.log.iter().map(|(_, id)| id.clone()).collect();
                state.led.push((index, log));
            }
        });
        true
    }

    fn serve(&self, mut stream: TcpStream, index: usize) {
        let _ = stream.set_nodelay(true);
        let mut read = BufReader::new(stream.try_clone().expect("clone the socket"));
        let mut state = self.state.0.lock().unwrap();
        if !state.members[index].is_up {
            return;
        }
        state.next_connection += 1;
        let key = (index, state.next_connection);
        let open = state.connections.keys().filter(|(at, _)| *at == index).count();
        if open >= self.options.connections_max {
            drop(state);
            let _ = stream.write_all(b"ERROR TOOMANY too many connections\r\n");
            return;
        }
        state.connections.insert(key, stream.try_clone().expect("clone the socket"));
        drop(state);
        let mut session = Session::default();
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(read.read_line(&mut line), Ok(len) if len > 0) {
                break;
            }
            let (answer, closes) = self.answer(index, &mut session, line.trim_end());
            let is_up = self.state.0.lock().unwrap().members[index].is_up;
            if !is_up || stream.write_all(answer.as_bytes()).is_err() || closes {
                break;
            }
        }
        self.state.0.lock().unwrap().connections.remove(&key);
    }

    /// Occupies a slot for the time of a statement.
    fn work(&self, index: usize, ms: u64) {
        let mut state = self.state.0.lock().unwrap();
        while state.busy[index] >= self.options.slots {
            state = self.state.1.wait(state).unwrap();
        }
        state.busy[index] += 1;
        drop(state);
        thread::sleep(Duration::from_millis(ms));
        self.state.0.lock().unwrap().busy[index] -= 1;
        self.state.1.notify_all();
    }

    /// Returns the answer to a message, and whether the connection is closed after it.
    fn answer(&self, index: usize, session: &mut Session, line: &str) -> (String, bool) {
        let fields: Vec<&str> = line.splitn(4, ' ').collect();
        if let ["START", service, tenant, id] = &*fields {
            if *service != SERVICE || *id != name(index) {
                return ("ERROR MISROUTED another database\r\n".to_owned(), true);
            }
            session.tenant = (*tenant).to_owned();
            self.work(index, 12);
            return (self.ready(index, session), false);
        }
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
        else {
            return (String::new(), true);
        };
        let share = self.state.0.lock().unwrap().failing.get(&index).copied().unwrap_or(0.0);
        let fails = !text.starts_with("STATUS") && random() < share;
        let result = match fails {
            // A transaction ends in any case.
            true if text != "ROLLBACK" && text != "COMMIT" => Err("FAILED"),
            _ => self.run(index, session, id, text),
        };
        let mut out = match result {
            Ok(rows) => rows,
            Err(code) => {
                if fails {
                    self.record.write(&format!("{} fails: QUERY {id} {text}", name(index)));
                }
                session.failed |= session.transaction.is_some();
                format!("ERROR {code} {}\r\n", name(index))
            }
        };
        out.push_str(&self.ready(index, session));
        (out, false)
    }

    fn ready(&self, index: usize, session: &Session) -> String {
        let state = match (&session.transaction, session.failed) {
            (None, _) => "I",
            (Some(_), false) => "T",
            (Some(_), true) => "E",
        };
        let position = self.state.0.lock().unwrap().members[index].position();
        format!("READY {state} {position}\r\n")
    }

    fn run(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Result<String, &'static str> {
        let done = || Ok("COMPLETE -\r\n".to_owned());
        let mut text = text;
        if let Some((after, rest)) = text.strip_prefix("AFTER ").and_then(|r| r.split_once(' ')) {
            text = rest;
            let parse = |p: &str| -> Option<(u64, usize)> {
                let (term, number) = p.split_once('.')?;
                Some((term.parse().ok()?, number.parse().ok()?))
            };
            let position = self.state.0.lock().unwrap().members[index].position();
            if parse(&position) < parse(after) {
                return Err("LAGGING");
            }
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let is_primary =
            |databases: &Databases| databases.state.0.lock().unwrap().members[index].is_primary;
        match word {
            "BEGIN" if rest != "READ" && !is_primary(self) => Err("READONLY"),
            "BEGIN" => {
                session.transaction = Some(rest == "READ");
                session.failed = false;
                session.writes.clear();
                done()
            }
            "ROLLBACK" => {
                session.transaction = None;
                session.failed = false;
                session.writes.clear();
                done()
            }
            _ if session.failed => Err("MALFORMED"),
            "SET" => {
                let (key, value) = rest.split_once(' ').unwrap_or((rest, ""));
                session.variables.insert(key.to_owned(), value.to_owned());
                done()
            }
            "RESET" => {
                session.variables.clear();
                session.prepared.clear();
                done()
            }
            "PREPARE" => {
                let (key, what) = rest.split_once(' ').ok_or("MALFORMED")?;
                session.prepared.insert(key.to_owned(), what.to_owned());
                done()
            }
            "DEALLOC" => {
                session.prepared.remove(rest);
                done()
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
                let mut state = self.state.0.lock().unwrap();
                let member = &mut state.members[index];
                if word == "DEMOTE" && rest.parse::<u64>().is_ok_and(|term| member.term < term) {
                    member.is_primary = false;
                }
                match word {
                    "PAUSE" => {
                        member.is_paused |= rest.parse().is_ok_and(|term| member.term < term)
                    }
                    "RESUME" => member.is_paused = false,
                    _ => {}
                }
                let role = if member.is_primary { "primary" } else { "replica" };
                let (term, position) = (member.term, member.position());
                let open = state.connections.keys().filter(|(at, _)| *at == index).count();
                Ok(format!("DATAROW {role} {term} {position} 0 8 0 {open}\r\nCOMPLETE -\r\n"))
            }
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" => self.execute(index, session, id, word, rest),
            _ => Err("MALFORMED"),
        }
    }

    fn execute(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        word: &str,
        rest: &str,
    ) -> Result<String, &'static str> {
        let writes = match word {
            "EXECUTE" => {
                let key = rest.split(' ').next().unwrap_or("");
                let what = session.prepared.get(key).ok_or("NOSUCHSTMT")?;
                what.starts_with("WRITE")
            }
            word => word == "WRITE",
        };
        let mut state = self.state.0.lock().unwrap();
        let may_write = state.members[index].is_primary;
        let is_plain = session.transaction == Some(false);
        let ends_reads = word == "COMMIT" && session.writes.is_empty();
        if !may_write && !ends_reads && (writes || is_plain) {
            return Err("READONLY");
        }
        let run = state.runs.len();
        state.runs.push(Run {
            id: id.to_owned(),
            database: index,
            tenant: session.tenant.clone(),
            variables: session.variables.clone(),
        });
        drop(state);
        let (least, most) = self.options.work_ms;
        self.work(index, least + (random() * (most - least + 1) as f64) as u64);
        let mut state = self.state.0.lock().unwrap();
        if writes {
            session.writes.push(id.to_owned());
        }
        if word == "COMMIT" {
            session.transaction = None;
        }
        if session.transaction.is_none() && !session.writes.is_empty() {
            let term = state.members[index].term;
            let writes = session.writes.drain(..).map(|id| (term, id));
            state.members[index].log.extend(writes);
            let count = state.members[index].log.len();
            while self.options.is_synchronous
                && state.members[index].is_up
                && !Self::is_received(&state, index, count)
            {
                state = self.state.1.wait(state).unwrap();
            }
        }
        let row = if word == "COMMIT" { "" } else { "DATAROW value\r\n" };
        Ok(format!("{row}COMPLETE {}.{run}\r\n", name(index)))
    }
}

/// A connection to a database.
#[derive(Default)]
struct Session {
    tenant: String,
    variables: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    /// Whether the open transaction only reads.
    transaction: Option<bool>,
    failed: bool,
    writes: Vec<String>,
}
