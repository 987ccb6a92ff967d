//! What `rainlug local` prints once the tier is up.

use std::net::SocketAddr;

use super::HOST;
use super::plan::{CONTROL_PORT, FRONT_PORT, MachineRole, WORKER_PORT};
use super::tier::{Process, RESTART_DELAY, Tier};
use crate::operator::format_table;

fn to_text(address: Option<&SocketAddr>) -> String {
    address.map(SocketAddr::to_string).unwrap_or_default()
}

impl Tier {
    /// The processes, and calls to try.
    pub(super) fn summary(&self) -> String {
        let plan = &self.plan;
        let (fronts, controls) = (plan.front_addresses(), plan.control_addresses());
        let (front, control) = (to_text(fronts.first()), to_text(controls.first()));
        let other = to_text(fronts.last());
        let program = std::env::args().next().unwrap_or_else(|| "rainlug".to_owned());
        format!(
            "{}
A request, a stream, a batch job:

  curl -s -H 'Host: {HOST}' -H 'X-Rainlug-Attempt-Id: '$(date +%s%N) http://{front}/ask/me
  curl -sN -X POST -H 'Host: {HOST}' -H 'X-Rainlug-Attempt-Id: '$(date +%s%N) -H 'X-Rainlug-Model: m' \\
    -H 'X-Rainlug-Token-Count: 300,40' -H 'X-Rainlug-Prompt-Prefix: a1:200,b1:100' -d hello http://{front}/chat/1
  curl -s -i -H 'Host: {HOST}' -H 'X-Rainlug-Attempt-Id: lot1' -H 'Content-Type: application/json' \\
    -d @deploy/local/lot.json http://{front}/batch/lot1
  {program} lot lot1 --at {other} --host {HOST}

What the tier knows: {program} members|workers|parts|stores|figures --at {control}
Kill any process by the number above; it is started again after {} s. Logs: {}
Ctrl-C ends all of it.
",
            self.process_table(),
            RESTART_DELAY.as_secs(),
            plan.dir.join("logs").display(),
        )
    }

    fn process_table(&self) -> String {
        let row = |process: &Process| {
            let machine = &process.machine;
            let address = |port| self.plan.address(machine, port).to_string();
            let (serves, control) = match machine.role {
                MachineRole::Gateway => (address(FRONT_PORT), address(CONTROL_PORT)),
                MachineRole::Store => ("-".to_owned(), "-".to_owned()),
                MachineRole::Worker => (address(WORKER_PORT), "-".to_owned()),
            };
            vec![machine.name.clone(), machine.zone.to_owned(), process.id().to_string(), serves, control]
        };
        let rows: Vec<Vec<String>> = self.processes.iter().map(row).collect();
        format_table(&["NAME", "ZONE", "PROCESS", "SERVES", "CONTROL"], &rows)
    }
}
