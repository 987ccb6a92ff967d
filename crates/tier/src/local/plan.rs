//! What is started: processes, addresses, and the program's arguments for each.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;

use bpaf::Bpaf;

use super::Error;

/// The service that all workers belong to.
const SERVICE: &str = "model";
/// The zones that processes of each role are spread over.
const ZONES: [&str; 3] = ["north", "middle", "south"];
/// Processes of each role, at least and at most.
const COUNTS: std::ops::RangeInclusive<u8> = 1..=50;
/// The base port, at least and at most.
const BASE_PORTS: std::ops::RangeInclusive<u16> = 1..=65_000;
/// The base port's offsets to the ports that processes listen at.
pub(super) const FRONT_PORT: u16 = 0;
pub(super) const READINESS_PORT: u16 = 1;
pub(super) const CONTROL_PORT: u16 = 2;
pub(super) const WORKER_PORT: u16 = 3;
/// The first and last port between processes.
pub(super) const PEER_PORTS: (u16, u16) = (10, 13);
/// Between two heartbeats of a worker, in milliseconds.
pub(super) const HEARTBEAT_MS: u16 = 1000;
/// How long a draining worker serves on, in milliseconds.
const DRAIN_MS: u16 = 1000;
/// Numbers of gateways and of stores from which on one machine may be lost.
const MIN_REDUNDANT: u8 = 3;
/// Gateways that found a tier which may lose one.
const REDUNDANT_SEEDS: usize = 3;

/// What is to be started.
#[derive(Clone, Debug, Bpaf)]
pub struct Plan {
    /// Where settings, disks and logs are
    #[bpaf(long, argument("DIR"), fallback(PathBuf::from("target/local")), debug_fallback)]
    pub dir: PathBuf,
    /// Processes that take requests
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub gateways: u8,
    /// Processes that keep batch jobs
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub stores: u8,
    /// Stand-in model workers
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub workers: u8,
    /// The first of the ports that all processes use
    #[bpaf(long, argument("PORT"), fallback(7400), display_fallback)]
    pub base_port: u16,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineRole {
    /// Takes requests.
    Gateway,
    /// Keeps batch jobs.
    Store,
    /// Stands in for a model worker.
    Worker,
}

/// One process of the tier, with the address of the machine that it stands for.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name, such as `store-2`.
    pub name: String,
    /// The process's role.
    pub role: MachineRole,
    /// Its loopback address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: &'static str,
}

impl Plan {
    /// Checks counts and ports.
    ///
    /// # Errors
    /// Where one is out of bounds.
    pub fn validate(&self) -> Result<(), Error> {
        if [self.gateways, self.stores, self.workers].iter().any(|n| !COUNTS.contains(n)) {
            return Err(Error::Counts);
        }
        if !BASE_PORTS.contains(&self.base_port) {
            return Err(Error::Port);
        }
        Ok(())
    }

    /// All processes, from 127.0.0.2 on: gateways, stores, workers.
    pub fn machines(&self) -> Vec<Machine> {
        let roles = [
            (MachineRole::Gateway, "gateway", self.gateways),
            (MachineRole::Store, "store", self.stores),
            (MachineRole::Worker, "worker", self.workers),
        ];
        let mut all = Vec::new();
        let mut last_octet = 1;
        for (role, name, count) in roles {
            for (n, zone) in (1..=count).zip(ZONES.iter().cycle()) {
                last_octet += 1;
                let ip = Ipv4Addr::new(127, 0, 0, last_octet);
                all.push(Machine { name: format!("{name}-{n}"), role, ip, zone });
            }
        }
        all
    }

    /// Machines that may be lost at once without a loss of committed state.
    pub(super) fn tolerated_failures(&self) -> u8 {
        u8::from(self.gateways >= MIN_REDUNDANT && self.stores >= MIN_REDUNDANT)
    }

    /// The control addresses that a new process joins by.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        let count = if self.tolerated_failures() > 0 { REDUNDANT_SEEDS } else { 1 };
        self.control_addresses().into_iter().take(count).collect()
    }

    /// Where a machine serves clients.
    pub fn front_address(&self, machine: &Machine) -> SocketAddr {
        self.address(machine, FRONT_PORT)
    }

    /// Where a machine serves operators and workers.
    pub fn control_address(&self, machine: &Machine) -> SocketAddr {
        self.address(machine, CONTROL_PORT)
    }

    /// Where a machine listens for its peers.
    pub fn peer_address(&self, machine: &Machine) -> SocketAddr {
        self.address(machine, PEER_PORTS.0)
    }

    /// A machine's address with one of the ports above.
    pub(super) fn address(&self, machine: &Machine, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(machine.ip), self.base_port + port)
    }

    fn gateway_addresses(&self, port: u16) -> Vec<SocketAddr> {
        let machines = self.machines();
        let gateways = machines.iter().filter(|m| m.role == MachineRole::Gateway);
        gateways.map(|m| self.address(m, port)).collect()
    }

    /// Where gateways serve clients.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        self.gateway_addresses(FRONT_PORT)
    }

    /// Where gateways serve operators and workers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.gateway_addresses(CONTROL_PORT)
    }

    /// Where gateways answer `GET /v1/readiness`.
    pub fn readiness_addresses(&self) -> Vec<SocketAddr> {
        self.gateway_addresses(READINESS_PORT)
    }

    /// The settings file of the gateway or store of this name.
    pub fn settings_file(&self, name: &str) -> PathBuf {
        self.dir.join("settings").join(format!("{name}.toml"))
    }

    /// The folder of the disk of the gateway or store of this name.
    pub fn data_dir(&self, name: &str) -> PathBuf {
        self.dir.join("data").join(name)
    }

    /// The file that the output of the process of this name goes to.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.dir.join("logs").join(format!("{name}.log"))
    }

    /// Checks that all addresses are free.
    ///
    /// # Errors
    /// The first one that is not.
    pub fn check_addresses_free(&self) -> Result<(), Error> {
        for machine in self.machines() {
            let ports = match machine.role {
                MachineRole::Gateway => vec![FRONT_PORT, READINESS_PORT, CONTROL_PORT, PEER_PORTS.0],
                MachineRole::Store => vec![PEER_PORTS.0],
                MachineRole::Worker => vec![WORKER_PORT],
            };
            for at in ports.into_iter().map(|port| self.address(&machine, port)) {
                TcpListener::bind(at).map_err(|e| Error::Taken(at, e))?;
            }
        }
        Ok(())
    }

    /// What the program is started with for a machine.
    pub fn arguments(&self, machine: &Machine) -> Vec<String> {
        let settings = self.settings_file(&machine.name).to_string_lossy().into_owned();
        let mut all = match machine.role {
            MachineRole::Gateway => vec!["gateway".to_owned(), "--settings".to_owned(), settings],
            MachineRole::Store => vec!["store".to_owned(), "--settings".to_owned(), settings],
            MachineRole::Worker => self.worker_arguments(machine),
        };
        all.push("--tied".to_owned());
        all
    }

    fn worker_arguments(&self, machine: &Machine) -> Vec<String> {
        let options = [
            ("--name", machine.name.clone()),
            ("--service", SERVICE.to_owned()),
            ("--zone", machine.zone.to_owned()),
            ("--at", self.address(machine, WORKER_PORT).to_string()),
            ("--beat-ms", HEARTBEAT_MS.to_string()),
            ("--drain-ms", DRAIN_MS.to_string()),
        ];
        let controls = self.control_addresses().into_iter().map(|at| ("--control", at.to_string()));
        let options = options.into_iter().chain(controls).flat_map(|(name, value)| [name.to_owned(), value]);
        std::iter::once("worker".to_owned()).chain(options).collect()
    }
}
