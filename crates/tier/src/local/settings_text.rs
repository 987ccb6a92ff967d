//! The settings files that `rainlug local` writes.

use toml::{Table, Value};

use super::plan::{
    CONTROL_PORT, FRONT_PORT, HEARTBEAT_MS, Machine, MachineRole, PEER_PORTS, Plan, READINESS_PORT,
};

fn text(text: &str) -> Value {
    Value::String(text.to_owned())
}

fn table<const N: usize>(fields: [(&str, Value); N]) -> Table {
    fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

impl Plan {
    /// The text of a gateway's or store's settings file; `first_boot` where the tier is founded now.
    pub fn settings_text(&self, machine: &Machine, first_boot: bool) -> String {
        let (role, serves, listen) = match machine.role {
            MachineRole::Gateway => {
                ("gateway", vec![text("edge"), text("control")], self.gateway_listeners(machine))
            }
            _ => ("store", vec![text("storage")], Table::new()),
        };
        let seeds = self.seeds().iter().map(|at| text(&at.to_string())).collect();
        let ports = [PEER_PORTS.0, PEER_PORTS.1].map(|p| Value::Integer(i64::from(self.base_port + p)));
        let limits = [
            ("cpu_share", Value::Float(0.45)),
            ("memory_mb", Value::Integer(256)),
            ("max_fds", Value::Integer(1024)),
            ("disk_mb", Value::Integer(256)),
        ];
        let bounds = [("grace_s", Value::Integer(6)), ("status_s", Value::Integer(600))];
        let settings = [
            ("node", text(&machine.name)),
            ("role", text(role)),
            ("zone", text(machine.zone)),
            ("ip", text(&machine.ip.to_string())),
            ("port_range", Value::Array(ports.to_vec())),
            ("seeds", Value::Array(seeds)),
            ("first_boot", Value::Boolean(first_boot)),
            ("data_dir", text(&self.data_dir(&machine.name).to_string_lossy())),
            ("beat_ms", Value::Integer(HEARTBEAT_MS.into())),
            ("serves", Value::Array(serves)),
            ("listen", Value::Table(listen)),
            ("limits", Value::Table(table(limits))),
            (
                "tolerate",
                Value::Table(table([("machines", Value::Integer(self.tolerated_failures().into()))])),
            ),
            ("bounds", Value::Table(table(bounds))),
        ];
        format!("# Written by `rainlug local`.\n{}", table(settings))
    }

    fn gateway_listeners(&self, machine: &Machine) -> Table {
        let address = |port| text(&self.address(machine, port).to_string());
        table([
            ("front", address(FRONT_PORT)),
            ("ready", address(READINESS_PORT)),
            ("control", address(CONTROL_PORT)),
        ])
    }
}
