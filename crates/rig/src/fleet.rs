//! Starts a fleet as processes: a stand-in platform, stand-in databases and daemons.

use std::{path::PathBuf, time::Duration};

use config::{
    Configuration,
    answers::{Answers, generate},
};
use edge::client::{Client, encode_json, json_content_type};
use eyre::{WrapErr, eyre};
use http::Method;
use model::prelude::*;
use proto::platform::{VmRecord, VmState};
use serde::Serialize;
use serde_json::{Value, json};

use crate::{
    process::{Process, run_program},
    relay::Relay,
    scratch::ScratchDir,
    wait::wait_until,
};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
const UNLIMITED_RATE_PER_S: u32 = 100_000_000;
const FLEET_SECRET: &str = "a fleet secret for tests and demos";

/// Configuration of a fleet to start.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Answers to the configuration questionnaire. The addresses of started databases are filled
    /// in.
    pub answers: Answers,
    /// Services whose databases are started as stand-ins.
    pub services: Vec<ServiceName>,
    /// Number of VMs started in each data centre.
    pub vms_per_dc: usize,
    /// Additional command-line arguments of each database.
    pub database_args: Vec<String>,
    /// Additional command-line arguments of each daemon.
    pub daemon_args: Vec<String>,
    /// Whether the daemons reach the platform, the databases and each other through relays.
    pub use_relays: bool,
}

impl FleetSpec {
    /// Creates a spec from answers in TOML: databases for the first service and one VM per data
    /// centre.
    pub fn new(answers: &str) -> eyre::Result<FleetSpec> {
        let answers: Answers = toml::from_str(answers)?;
        let services = answers.services.iter().take(1).map(|s| s.name.clone()).collect();
        Ok(FleetSpec {
            answers,
            services,
            vms_per_dc: 1,
            database_args: Vec::new(),
            daemon_args: Vec::new(),
            use_relays: false,
        })
    }

    /// Sets the number of VMs in each data centre.
    pub fn with_vms_per_dc(mut self, count: usize) -> FleetSpec {
        self.vms_per_dc = count;
        self
    }

    /// Raises every workspace's rate and burst so far that no request is rate limited.
    pub fn with_rates_unlimited(mut self) -> FleetSpec {
        for workspace in &mut self.answers.workspaces {
            workspace.rate_per_s = UNLIMITED_RATE_PER_S;
            workspace.burst = UNLIMITED_RATE_PER_S;
        }
        self
    }

    /// Adds the flag `--name value` to every database.
    pub fn with_database_arg(mut self, name: &str, value: impl ToString) -> FleetSpec {
        self.database_args.extend([format!("--{name}"), value.to_string()]);
        self
    }

    /// Puts relays before the platform, the databases and the VMs' peer listeners. They record
    /// traffic and can partition data centres.
    pub fn with_relays(mut self) -> FleetSpec {
        self.use_relays = true;
        self
    }

    /// Adds the flag `--name value` to every daemon.
    pub fn with_daemon_arg(mut self, name: &str, value: impl ToString) -> FleetSpec {
        self.daemon_args.extend([format!("--{name}"), value.to_string()]);
        self
    }
}

/// A running stand-in database.
pub struct DatabaseProcess {
    /// Name of the database in the configuration.
    pub name: DatabaseName,
    /// Process of the stand-in.
    pub process: Process,
}

/// A running daemon, which stands for one VM.
pub struct VmProcess {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the VM, unique for each start in a fleet.
    pub incarnation: Incarnation,
    /// Data centre of the VM.
    pub dc: DcName,
    /// Process of the daemon.
    pub process: Process,
}

impl VmProcess {
    /// Returns the address of the listener for callers.
    pub fn address(&self) -> String {
        self.process.address("listen")
    }

    /// Returns the VM's record for the platform's VM list.
    pub fn record(&self, state: VmState) -> VmRecord {
        VmRecord {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            dc: self.dc.clone(),
            peer_address: self.process.address("peer"),
            state,
        }
    }
}

/// A running fleet. All its processes are killed when it is dropped.
pub struct Fleet {
    /// Process of the stand-in platform.
    pub platform: Process,
    /// Databases, in the order of the answers.
    pub databases: Vec<DatabaseProcess>,
    /// Daemons, in the order of their start.
    pub vms: Vec<VmProcess>,
    /// Configuration that was applied at the start. Later changes aren't reflected.
    pub cfg: Configuration,
    /// Relays; empty unless [`FleetSpec::use_relays`] is set.
    pub relays: Vec<Relay>,
    spec: FleetSpec,
    scratch: ScratchDir,
    client: Client,
    next_incarnation: u64,
}

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready.
    pub async fn start(spec: FleetSpec) -> eyre::Result<Fleet> {
        let scratch = ScratchDir::new()?;
        std::fs::write(scratch.file("fleet-secret"), FLEET_SECRET)?;
        let platform =
            Process::start("standin-platform", "platform", &[], &scratch.file("platform.log"))?;
        let mut fleet = Fleet {
            platform,
            databases: Vec::new(),
            vms: Vec::new(),
            cfg: Configuration::empty(),
            relays: Vec::new(),
            spec,
            scratch,
            client: Client::new("rig"),
            next_incarnation: 1,
        };
        fleet.start_databases().await?;
        fleet.apply_configuration()?;
        let dcs = fleet.spec.answers.data_centres.clone();
        for dc in &dcs {
            for number in 1..=fleet.spec.vms_per_dc {
                fleet.start_vm(VmName::new(format!("{dc}-{number}"))?, dc.clone()).await?;
            }
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Starts a daemon, registers it in the platform's VM list and returns its index in `vms`.
    pub async fn start_vm(&mut self, vm: VmName, dc: DcName) -> eyre::Result<usize> {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        let relay = Relay::new(dc.as_str()).await?;
        let platform = self.platform.address("listen");
        let mut flags = vec![
            ("vm", vm.to_string()),
            ("incarnation", incarnation.0.to_string()),
            ("dc", dc.to_string()),
            ("platform", self.relay_to(&platform, "").await?),
            ("fleet-secret-file", self.scratch.file("fleet-secret").display().to_string()),
        ];
        let seeds: Vec<String> = self.vms.iter().map(|vm| vm.process.address("peer")).collect();
        if !seeds.is_empty() {
            flags.push(("seeds", seeds.join(",")));
        }
        if self.spec.use_relays {
            flags.push(("peer-address", relay.address()));
        }
        let mut args: Vec<String> =
            flags.into_iter().flat_map(|(name, value)| [format!("--{name}"), value]).collect();
        args.extend(self.spec.daemon_args.iter().cloned());
        let log = self.log_file(&format!("{vm}.{}", incarnation.0));
        let process = Process::start("jasminepassd", vm.as_str(), &args, &log)?;
        if self.spec.use_relays {
            relay.set_target(&process.address("peer_listen"));
            self.relays.push(relay);
        }
        let vm = VmProcess { vm, incarnation, dc, process };
        self.register_vm(&vm.record(VmState::Live)).await?;
        self.vms.push(vm);
        Ok(self.vms.len() - 1)
    }

    /// Starts or ends a partition between the VMs of two data centres. The fleet must use relays.
    pub fn set_partitioned(&self, dc: &str, other: &str, cut: bool) {
        for (from, to) in [(dc, other), (other, dc)] {
            let senders = self.vms.iter().filter(|vm| vm.dc.as_str() == from);
            let senders: Vec<String> = senders.map(|vm| vm.vm.to_string()).collect();
            for relay in self.relays.iter().filter(|relay| relay.dc == to) {
                relay.set_cut(&senders, cut);
            }
        }
    }

    /// Returns the bytes of requests and responses between VMs that the relays recorded.
    pub fn recorded_peer_bytes(&self) -> usize {
        self.relays.iter().filter(|r| !r.dc.is_empty()).map(Relay::recorded_bytes).sum()
    }

    async fn relay_to(&mut self, address: &str, dc: &str) -> eyre::Result<String> {
        match self.spec.use_relays {
            true => relay_to(&mut self.relays, address, dc).await,
            false => Ok(address.to_owned()),
        }
    }

    /// Adds a VM to the platform's VM list, or replaces its record.
    pub async fn register_vm(&self, record: &VmRecord) -> eyre::Result<()> {
        self.control(&self.platform, Method::POST, "/vms", record).await?;
        Ok(())
    }

    /// Removes a VM from the platform's VM list.
    pub async fn deregister_vm(&self, vm: &VmName) -> eyre::Result<()> {
        self.control(&self.platform, Method::DELETE, &format!("/vms/{vm}"), &Value::Null).await?;
        Ok(())
    }

    /// Replaces the fault switches of the platform or of a database.
    pub async fn set_faults(&self, process: &Process, faults: &impl Serialize) -> eyre::Result<()> {
        self.control(process, Method::POST, "/faults", faults).await?;
        Ok(())
    }

    /// Returns the counters of the platform or of a database.
    pub async fn counts(&self, process: &Process) -> eyre::Result<Value> {
        self.control(process, Method::GET, "/counts", &Value::Null).await
    }

    /// Returns all objects of the platform, by name.
    pub async fn objects(&self) -> eyre::Result<Value> {
        self.control(&self.platform, Method::GET, "/objects", &Value::Null).await
    }

    /// Gets JSON from the daemon's operators' listener; `None` if there is no response in 5 s.
    pub async fn query_ops(&self, vm: &VmProcess, path: &str) -> Option<Value> {
        let address = vm.process.address("ops");
        let reply = self
            .client
            .send(&address, Method::GET, path, &[], Default::default(), CONTROL_TIMEOUT)
            .await
            .ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Runs `jasminepassctl` against this fleet's platform and returns its standard output.
    pub fn ctl(&self, args: &[&str]) -> eyre::Result<String> {
        let platform = self.platform.address("listen");
        let mut all = vec!["--platform".to_owned(), platform];
        all.extend(args.iter().map(|a| (*a).to_owned()));
        run_program("jasminepassctl", &all)
    }

    /// Issues an API key for a workspace, waits until every daemon has it and returns it.
    pub async fn issue_key(&self, workspace: &str, name: &str) -> eyre::Result<String> {
        let key = self.ctl(&["key", "give", workspace, "--name", name])?.trim().to_owned();
        let generation = self.generation().await?;
        self.wait_for_generation(generation).await?;
        Ok(key)
    }

    /// Returns the generation of the configuration at the platform.
    pub async fn generation(&self) -> eyre::Result<u64> {
        let objects = self.objects().await?;
        objects["configuration"]["value"]["generation"]
            .as_u64()
            .ok_or_else(|| eyre!("no configuration is applied"))
    }

    /// Waits until every daemon uses the configuration of this generation or a later one.
    pub async fn wait_for_generation(&self, generation: u64) -> eyre::Result<()> {
        for vm in &self.vms {
            let in_force = async || {
                let state = self.query_ops(vm, "/state").await?;
                (state["generation"].as_u64()? >= generation).then_some(())
            };
            wait_until(&format!("generation {generation} in force on {}", vm.vm), in_force).await?;
        }
        Ok(())
    }

    /// Waits until every daemon knows all VMs and primaries and has shares of rates and
    /// connections.
    pub async fn wait_until_ready(&self) -> eyre::Result<()> {
        for vm in &self.vms {
            let ready = async || {
                let state = self.query_ops(vm, "/state").await?;
                let knows_all = state["vms"].as_array()?.len() == self.vms.len();
                let has_rates = !state["portions"].as_object()?.is_empty();
                let connections = state["connections"].as_object()?;
                let has_rates = has_rates && connections.values().all(|c| c.as_u64() > Some(0));
                let configured = state["generation"].as_u64()? > 0;
                let promoted = self.knows_primaries(&state);
                (knows_all && has_rates && configured && promoted).then_some(())
            };
            wait_until(&format!("{} is ready", vm.vm), ready).await?;
        }
        Ok(())
    }

    /// Whether every slot that the daemon holds has a verified primary. Only services whose
    /// databases were started count.
    fn knows_primaries(&self, state: &Value) -> bool {
        let runs = |slot: &Value| {
            self.spec.services.iter().any(|s| slot["service"].as_str() == Some(s.as_str()))
        };
        let slots = state["slots"].as_array().map(Vec::as_slice).unwrap_or_default();
        let held = slots.iter().filter(|slot| runs(slot) && slot["held"] == json!(true));
        held.into_iter().all(|slot| slot["primary_verified"] == json!(true))
    }

    /// Returns the first daemon of the data centre.
    pub fn vm_in(&self, dc: &str) -> eyre::Result<&VmProcess> {
        self.vms.iter().find(|vm| vm.dc.as_str() == dc).ok_or_else(|| eyre!("no VM in {dc}"))
    }

    /// Returns the path of the log file of the process `name`.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.scratch.file(&format!("{name}.log"))
    }

    /// Returns the concatenated logs of all processes.
    pub fn logs(&self) -> eyre::Result<String> {
        let mut all = String::new();
        for entry in std::fs::read_dir(self.scratch.path())? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "log") {
                all.push_str(&std::fs::read_to_string(path)?);
            }
        }
        Ok(all)
    }

    async fn start_databases(&mut self) -> eyre::Result<()> {
        let wanted = self.spec.services.clone();
        for service in self.spec.answers.services.iter_mut().filter(|s| wanted.contains(&s.name)) {
            for database in &mut service.databases {
                let limit = database.connection_limit.to_string();
                let mut args = vec![
                    "--name".to_owned(),
                    database.name.to_string(),
                    "--connection-limit".to_owned(),
                    limit,
                ];
                for slot in &service.slots {
                    args.extend(["--slot".to_owned(), format!("{}/{slot}", service.name)]);
                }
                args.extend(self.spec.database_args.iter().cloned());
                let log = self.scratch.file(&format!("{}.log", database.name));
                let process =
                    Process::start("standin-database", database.name.as_str(), &args, &log)?;
                database.address = process.address("listen");
                database.admin_address = process.address("admin");
                if self.spec.use_relays {
                    let relays = &mut self.relays;
                    database.address = relay_to(relays, &database.address, "").await?;
                    database.admin_address = relay_to(relays, &database.admin_address, "").await?;
                }
                self.databases.push(DatabaseProcess { name: database.name.clone(), process });
            }
        }
        Ok(())
    }

    /// Generates the configuration from the answers and applies it with `jasminepassctl`.
    fn apply_configuration(&mut self) -> eyre::Result<()> {
        let text = toml::to_string(&self.spec.answers)?;
        self.cfg = generate(&text, &Configuration::empty(), 1)?;
        let file = self.scratch.file("answers.toml");
        std::fs::write(&file, text)?;
        self.ctl(&["apply", &file.display().to_string()])?;
        Ok(())
    }

    /// Sends a request to the control listener of a stand-in; an empty response becomes null.
    async fn control(
        &self,
        process: &Process,
        method: Method,
        path: &str,
        message: &impl Serialize,
    ) -> eyre::Result<Value> {
        let address = process.address("control");
        let body = encode_json(message);
        let reply = self
            .client
            .send(&address, method, path, &[json_content_type()], body, CONTROL_TIMEOUT)
            .await?;
        if !reply.status.is_success() {
            return Err(eyre!("{path} at {}: status {}", process.name, reply.status));
        }
        match reply.body.is_empty() {
            true => Ok(json!(null)),
            false => serde_json::from_slice(&reply.body)
                .wrap_err_with(|| format!("{path} at {}", process.name)),
        }
    }
}

/// Starts a relay to `address` and returns the address of the relay.
async fn relay_to(relays: &mut Vec<Relay>, address: &str, dc: &str) -> eyre::Result<String> {
    let relay = Relay::new(dc).await?;
    relay.set_target(address);
    let own = relay.address();
    relays.push(relay);
    Ok(own)
}
