//! Stand-ins for the cases of the second review: the platform's store and its interface for promotions, databases and
//! requesters in this process; the program under test in processes of its own.
//!
//! Arguments: name of the case, root of the repository, folder of the case, temporary folder. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case couldn't run.

mod caller;
mod database;
mod fleet;
mod flood;
mod grey;
mod http;
mod json;
mod late;
mod partial;
mod stop;
mod store;

use std::{
    cell::Cell,
    fs::File,
    io::Write,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use database::{Databases, Options};
use fleet::{Platform, Vm, ZONES};
use json::Json;
use store::Store;

/// What happened, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn write(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{:3}.{:03} s  {text}", ms / 1000, ms % 1000);
    }
}

/// A number from 0 to 1.
pub fn random() -> f64 {
    thread_local!(static STATE: Cell<u64> = const { Cell::new(0) });
    STATE.with(|state| {
        let mut x = state.get();
        if x == 0 {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            x = time.as_nanos() as u64 ^ (state as *const _ as u64) | 1;
        }
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        (x >> 11) as f64 / (1u64 << 53) as f64
    })
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small deployment.
pub struct Deployment {
    pub store: Store,
    pub databases: Databases,
    pub vms: Vec<Vm>,
    pub record: Record,
    /// Tokens of the promotion requests, in the order in which they came.
    pub tokens: Tokens,
    pub armed: late::Armed,
}

pub type Tokens = Arc<Mutex<Vec<u64>>>;

/// How a deployment is set up.
pub struct Setup {
    pub vms: usize,
    pub options: Options,
    /// Whether each VM has a way of its own to the interface for promotions.
    pub has_ways: bool,
}

impl Deployment {
    /// Starts everything and waits until all VMs are ready; exits with 2 if they are not.
    pub fn start(root: &Path, case: &Path, temp: &Path, setup: Setup) -> Deployment {
        let file = File::create(case.join("record.txt")).expect("create record.txt");
        let record = Record { file: Arc::new(Mutex::new(file)), began: Instant::now() };
        let store = Store::default();
        let connections = setup.options.connections_max;
        let sync = u32::from(setup.options.is_synchronous);
        let route = |host: &str, kind: &str, timeout: u64, age: Option<u64>| {
            let age = age.map_or(String::new(), |age| format!(r#","maxStalenessMs":{age}"#));
            format!(
                r#"{{"name":"r-{host}","host":"{host}","pathPrefix":"/","type":"{kind}","timeoutMs":{timeout},"targetLatencyMs":1000,"priority":1,"service":"{}","maxAttempts":2,"public":false{age}}}"#,
                database::SERVICE
            )
        };
        let routes = [
            route("draft", "primary", 1000, None),
            route("browse", "bounded_staleness", 2000, Some(1500)),
            route("book", "read_your_writes", 1000, Some(2500)),
        ];
        let configuration = format!(
            r#"{{"version":7,"routes":[{}],"services":[{{"name":"{}","healthPath":"/health","maxConns":{connections},"protocol":"h1","tls":false,"syncReplicas":{sync}}}],"limits":{{"txIdleMs":5000}},"tenants":[{{"name":"alpha","apiKeys":["key-a"],"priority":1,"ratePerS":2000,"burst":2000}},{{"name":"beta","apiKeys":["key-b"],"priority":1,"ratePerS":200,"burst":200}}]}}"#,
            routes.join(","),
            database::SERVICE
        );
        store.put("config", "main", &configuration);
        let databases = Databases::start(3, setup.options, &record);
        for (index, zone) in ZONES.iter().enumerate() {
            store.put("servers", &database::name(index), &databases.entry(index, zone));
        }
        let (tokens, armed) = (Arc::default(), late::Armed::default());
        let (store_address, cloud) = (store.serve(), serve_cloud(&databases, &record, &tokens));
        let start = |index| {
            let cloud = match setup.has_ways {
                true => late::start_way(cloud, index, &armed, &record),
                false => cloud,
            };
            Vm::start(root, temp, index, Platform { store: store_address, cloud })
        };
        let vms = (0..setup.vms).map(start).collect();
        let deployment = Deployment { store, databases, vms, record, tokens, armed };
        let until = Instant::now() + Duration::from_secs(30);
        while !deployment.vms.iter().all(Vm::is_ready) {
            if Instant::now() > until {
                deployment.record.write("the VMs are not ready");
                fail(deployment, 2);
            }
            pause(50);
        }
        deployment.record.write("all VMs are ready");
        deployment
    }
}

/// The platform's interface for promotions.
fn serve_cloud(databases: &Databases, record: &Record, tokens: &Tokens) -> SocketAddr {
    let (databases, record, tokens) = (databases.clone(), record.clone(), tokens.clone());
    http::serve(move |request| {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let token: Option<u64> =
            request.header("jasminepass-fencing-token").and_then(|text| text.parse().ok());
        tokens.lock().unwrap().extend(token);
        let name = body.get("id").text().unwrap_or("").to_owned();
        let status = if databases.promote(&name) { 200 } else { 409 };
        record.write(&format!(
            "promote {name}, holder {:?}, token {:?}: {status}",
            request.header("jasminepass-lease-holder"),
            request.header("jasminepass-fencing-token")
        ));
        http::Response::new(status, "{}".to_owned())
    })
}

/// Ends all processes and this one.
pub fn fail(deployment: Deployment, code: i32) -> ! {
    drop(deployment);
    exit(code)
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, case, temp] = &*args else {
        eprintln!("arguments: case, root of the repository, folder of the case, temporary folder");
        exit(2)
    };
    let (root, case, temp) = (PathBuf::from(root), PathBuf::from(case), PathBuf::from(temp));
    let broken = match &**name {
        "flood" => flood::run(&root, &case, &temp),
        "grey" => grey::run(&root, &case, &temp),
        "late" => late::run(&root, &case, &temp),
        "partial" => partial::run(&root, &case, &temp),
        "stop" => stop::run(&root, &case, &temp),
        _ => exit(2),
    };
    exit(i32::from(broken));
}
