//! The program under test: one process for each VM, with a settings file as the platform writes it.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
}

/// Where the platform is for a VM.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let port = tcp.local_addr().expect("local address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Memory of a VM in MB.
pub const MEMORY_MB: u64 = 260;

pub const ZONES: [&str; 3] = ["sask-yxe", "alta-yyc", "mb-ywg"];

impl Vm {
    pub fn start(root: &Path, temp: &Path, index: usize, platform: Platform) -> Vm {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, ready) = (local(free_port()), local(free_port()));
        let (control, peers) = (local(free_port()), free_port());
        let zone = ZONES[index % ZONES.len()];
        let Platform { store, cloud } = platform;
        let text = format!(
            r#"nodeName = "front-{zone}-{index}"
role = "front"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "region-{zone}"
internalPorts = [{peers},{peers}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entrypoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[zones]
sask-yxe = "region-sask-yxe"
alta-yyc = "region-alta-yyc"
mb-ywg = "region-mb-ywg"
[listenAddrs]
front = "{callers}"
ready = "{ready}"
control = "{control}"
[limits]
cpuShare = 0.25
cpus = 1
memoryMb = {MEMORY_MB}
maxFds = 4300
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeMs = 250
outerMs = 15000
revokeStrict = false
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
recoveryS = 12
requireFencing = false
thawMs = 300
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 50.0
duties = ["promotion"]
dutyPerS = 50.0
"#
        );
        let settings = temp.join(format!("vm-{index}.toml"));
        fs::write(&settings, text).expect("write the settings file");
        let log = temp.join(format!("vm-{index}.log"));
        let root = root.to_owned();
        let child = spawn(&root, &settings, &log);
        Vm { name: format!("front-{zone}-{index}"), callers, ready, child, settings, log, root }
    }

    /// Starts the process again, as the platform does.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("read the settings file");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).expect("write the settings file");
        self.child = spawn(&self.root, &self.settings, &self.log);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> Option<String> {
            let mut stream =
                TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream
                .write_all(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
                .ok()?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).ok()?;
            Some(answer)
        };
        ask().is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Waits for the end of the process, for at most `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).expect("open the log");
    let err = out.try_clone().expect("clone the log's handle");
    Command::new(root.join("target/release/jasminepass-platform"))
        .arg("front")
        .current_dir(root)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("JASMINEPASS_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
        .expect("start the program; build it with the deploy file's command")
}
