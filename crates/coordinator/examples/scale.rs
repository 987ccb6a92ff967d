//! What coordination costs a member, by the size of the fleet: hollow members (real cores, virtual clock), one process for each
//! size. `scale --members 14,60,120 [--seconds 60] [--beat-seconds 10] [--seed 1] [--csv PATH] [--only members|items|agreement]`
//! prints tables in markdown and writes the same rows as CSV. See docs/CAPACITY.md.

mod hollow;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hollow::{Fleet, KINDS, Kind, Role, Spent, configuration, settled, shape};
use rainlug::{SECOND, Time};
use rainlug_consensus::{InMemoryState, Member, MemberId, Replica, Settings};
use rainlug_coordinator::{BATCH_SHARDS, CONTROL, Call, shard_of_job};

/// Changes that a figure of spread is over (of the largest configuration: fewer, as all that they cost is reading them), and the
/// pause between two.
const CHANGES: usize = 10;
const LARGEST: (usize, usize) = (500, 3);
const BETWEEN: f64 = 5.0;

struct Options {
    members: Vec<usize>,
    seconds: f64,
    beat_seconds: f64,
    seed: u64,
    csv: Option<String>,
    only: String,
}

fn options() -> Result<Options, String> {
    let mut options = Options {
        members: vec![14, 60, 120, 240, 360],
        seconds: 60.0,
        beat_seconds: 10.0,
        seed: 1,
        csv: None,
        only: "all".to_owned(),
    };
    let mut given = std::env::args().skip(1);
    while let Some(name) = given.next() {
        let value = given.next().ok_or(format!("{name}: a value expected"))?;
        let wrong = || format!("{name}: {value}?");
        match name.as_str() {
            "--members" => {
                let sizes: Result<Vec<usize>, _> = value.split(',').map(str::parse).collect();
                options.members = sizes.map_err(|_| wrong())?;
            }
            "--seconds" => options.seconds = value.parse().map_err(|_| wrong())?,
            "--beat-seconds" => options.beat_seconds = value.parse().map_err(|_| wrong())?,
            "--seed" => options.seed = value.parse().map_err(|_| wrong())?,
            "--csv" => options.csv = Some(value),
            "--only" => options.only = value,
            _ => return Err(wrong()),
        }
    }
    Ok(options)
}

fn main() -> Result<(), String> {
    let options = options()?;
    if options.only == "one" {
        // A size, in a process of its own so that its memory is its own.
        for size in &options.members {
            member_rows(*size, &options);
        }
        return Ok(());
    }
    let mut csv = String::from("what,size,load,role,figure,value\n");
    if ["all", "members"].contains(&options.only.as_str()) {
        for size in &options.members {
            let rows = in_a_process(*size, &options)?;
            table(&rows);
            csv.extend(rows.iter().map(|row| format!("{row}\n")));
        }
    }
    for (name, rows) in [("items", item_rows as fn(u64) -> Vec<String>), ("agreement", agreement_rows)] {
        if ["all", name].contains(&options.only.as_str()) {
            let rows = rows(options.seed);
            table(&rows);
            csv.extend(rows.iter().map(|row| format!("{row}\n")));
        }
    }
    match &options.csv {
        Some(path) => std::fs::write(path, csv).map_err(|e| format!("{path}: {e}")),
        None => Ok(()),
    }
}

fn in_a_process(size: usize, options: &Options) -> Result<Vec<String>, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let output = Command::new(own)
        .args(["--only", "one", "--members", &size.to_string(), "--seed", &options.seed.to_string()])
        .args([
            "--seconds",
            &options.seconds.to_string(),
            "--beat-seconds",
            &options.beat_seconds.to_string(),
        ])
        .output()
        .map_err(|e| e.to_string())?;
    if !output.status.success() {
        return Err(format!("{size}: {}", String::from_utf8_lossy(&output.stderr)));
    }
    Ok(String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect())
}

/// Rows "what,size,load,role,figure,value" as tables, one for each load: figures down, roles across.
fn table(rows: &[String]) {
    type Line = (String, BTreeMap<usize, String>);
    let mut tables: Vec<(String, Vec<String>, Vec<Line>)> = Vec::new();
    for row in rows {
        let fields: Vec<&str> = row.split(',').collect();
        let [what, size, load, role, figure, value] = fields[..] else { continue };
        let title = format!("{what} {size}: {load}");
        let at = place(&mut tables, |t| t.0 == title, || (title.clone(), Vec::new(), Vec::new()));
        let (_, roles, lines) = &mut tables[at];
        let column = place(roles, |r| r == role, || role.to_owned());
        let line = place(lines, |l| l.0 == figure, || (figure.to_owned(), BTreeMap::new()));
        lines[line].1.insert(column, value.to_owned());
    }
    for (title, roles, lines) in tables {
        println!("\n| {title} | {} |\n|{}", roles.join(" | "), " --- |".repeat(roles.len() + 1));
        for (figure, values) in lines {
            let cells: Vec<&str> =
                (0..roles.len()).map(|c| values.get(&c).map_or("", String::as_str)).collect();
            println!("| {figure} | {} |", cells.join(" | "));
        }
    }
}

/// Where it stands in a list, to whose end it is added first where it is not there.
fn place<T>(list: &mut Vec<T>, is: impl Fn(&T) -> bool, new: impl FnOnce() -> T) -> usize {
    list.iter().position(is).unwrap_or_else(|| {
        list.push(new());
        list.len() - 1
    })
}

/// Bytes of memory that this process has resident.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// Processor time of this process, in seconds.
fn processor() -> f64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

struct Rows {
    what: &'static str,
    size: usize,
    rows: Vec<String>,
    /// Each is printed as soon as it is known.
    info: bool,
}

impl Rows {
    fn add(&mut self, load: &str, role: &str, figure: &str, value: impl std::fmt::Display) {
        let row = format!("{},{},{load},{role},{figure},{value}", self.what, self.size);
        if self.info {
            println!("{row}");
        }
        self.rows.push(row);
    }
}

/// What each member spends while `during` runs, a second, by role; and the process's own processor time for each member.
fn spend(fleet: &mut Fleet, rows: &mut Rows, load: &str, during: impl FnOnce(&mut Fleet)) {
    let before: Vec<Spent> = fleet.members.iter().map(|m| m.spent).collect();
    let (began, wall, cpu) = (fleet.now, Instant::now(), processor());
    during(fleet);
    let cpu = processor() - cpu;
    // A core's time is taken by the wall's clock: less what others had of the processor meanwhile.
    let had = (cpu / wall.elapsed().as_secs_f64()).min(1.0);
    let seconds = (fleet.now - began) as f64 / SECOND as f64;
    rows.add(load, "all", "virtual s", format!("{seconds:.1}"));
    let all = fleet.members.len() as f64 * seconds;
    rows.add(load, "all", "process CPU %core (with the harness)", format!("{:.3}", 100.0 * cpu / all));
    let leader = fleet.leader(CONTROL);
    let batch_shard_leaders: Vec<usize> =
        (1..=BATCH_SHARDS).filter_map(|shard| fleet.leader(shard)).collect();
    let groups: [(&str, Vec<usize>); 5] = [
        ("configuration leader", leader.into_iter().collect()),
        ("core", of_role(fleet, Role::Core, leader.as_slice())),
        ("gateway", of_role(fleet, Role::Gateway, &[])),
        ("store leader", batch_shard_leaders.clone()),
        ("store", of_role(fleet, Role::Store, &batch_shard_leaders)),
    ];
    for (role, places) in groups {
        if places.is_empty() {
            continue;
        }
        let spent: Vec<Spent> =
            places.iter().map(|at| fleet.members[*at].spent.since(&before[*at])).collect();
        let mean =
            |what: &dyn Fn(&Spent) -> f64| spent.iter().map(what).sum::<f64>() / spent.len() as f64 / seconds;
        let most = |what: &dyn Fn(&Spent) -> f64| spent.iter().map(what).fold(0.0, f64::max) / seconds;
        for (kind, name) in KINDS {
            let k = kind as usize;
            rows.add(load, role, &format!("{name} B/s out"), format!("{:.0}", mean(&|s| s.sent[k] as f64)));
            rows.add(
                load,
                role,
                &format!("{name} B/s in"),
                format!("{:.0}", mean(&|s| s.received[k] as f64)),
            );
            rows.add(
                load,
                role,
                &format!("{name} messages/s out"),
                format!("{:.2}", mean(&|s| s.messages[k] as f64)),
            );
        }
        let both = |s: &Spent| (s.sent.iter().sum::<u64>() + s.received.iter().sum::<u64>()) as f64;
        rows.add(load, role, "all B/s in and out", format!("{:.0}", mean(&both)));
        rows.add(load, role, "all B/s in and out at most", format!("{:.0}", most(&both)));
        rows.add(
            load,
            role,
            "core CPU %core",
            format!("{:.3}", 100.0 * had * mean(&|s| s.busy.as_secs_f64())),
        );
        rows.add(
            load,
            role,
            "core CPU %core at most",
            format!("{:.3}", 100.0 * had * most(&|s| s.busy.as_secs_f64())),
        );
        rows.add(load, role, "beats/s at most", format!("{:.1}", most(&|s| s.heartbeats as f64)));
    }
}

fn of_role(fleet: &Fleet, role: Role, but: &[usize]) -> Vec<usize> {
    let living = |at: &usize| fleet.members[*at].coordinator.is_some() && fleet.members[*at].role == role;
    (0..fleet.members.len()).filter(living).filter(|at| !but.contains(at)).collect()
}

fn quantiles(rows: &mut Rows, load: &str, figure: &str, mut times: Vec<f64>) {
    if times.is_empty() {
        return;
    }
    times.sort_by(f64::total_cmp);
    rows.add(load, "all", &format!("{figure}: p50 ms"), format!("{:.0}", times[times.len() / 2]));
    rows.add(load, "all", &format!("{figure}: worst ms"), format!("{:.0}", times[times.len() - 1]));
    rows.add(load, "all", &format!("{figure}: of"), times.len());
}

fn ms(time: Time) -> f64 {
    time as f64 / 1000.0
}

fn member_rows(size: usize, options: &Options) {
    let mut rows = Rows { what: "members", size, rows: Vec::new(), info: true };
    let before = resident();
    let mut fleet = settled(size, options.seed);
    let count = fleet.members.len() as f64;
    let (core, _, stores) = shape(size);
    rows.add("rest", "all", "processes", fleet.members.len());
    rows.add("rest", "all", "of them core; stores", format!("{core}; {stores}"));
    let memory = |rows: &mut Rows, load: &str| {
        rows.add(
            load,
            "all",
            "resident KB a member",
            format!("{:.0}", (resident() - before) / count / 1024.0),
        );
    };
    memory(&mut rows, "rest");
    spend(&mut fleet, &mut rows, "rest", |fleet| fleet.pass(options.seconds));

    let mut version = 5;
    for kilobytes in [5_usize, 50, 500] {
        let load = format!("change of {kilobytes} KB each {BETWEEN} s");
        let (mut to_answer, mut to_last, mut after_answer) = (Vec::new(), Vec::new(), Vec::new());
        let (mut refused, mut most) = (0, 0.0_f64);
        spend(&mut fleet, &mut rows, &load, |fleet| {
            let changes = if kilobytes == LARGEST.0 { LARGEST.1 } else { CHANGES };
            for change in 0..changes {
                let (began, next) = (fleet.now, version + 1);
                let at = change * 7 % size;
                let text = configuration(next, kilobytes * 1000);
                let answer = fleet.ask(at, Call::Configure { base: version, text }, BETWEEN);
                match answer {
                    Some((when, answer)) if answer.status == 200 => {
                        version = next;
                        fleet.until(BETWEEN, |fleet| fleet.everywhere(next));
                        let last = fleet.configurations[&next].last;
                        to_answer.push(ms(when - began));
                        to_last.push(if fleet.everywhere(next) { ms(last - began) } else { f64::INFINITY });
                        after_answer.push(ms((last - when).max(0)));
                    }
                    _ => refused += 1,
                }
                most = most.max(resident());
                fleet.pass((BETWEEN - ms(fleet.now - began) / 1000.0).max(0.0));
                if let Some((newest, _)) = fleet.configurations.last_key_value() {
                    version = version.max(*newest);
                }
            }
        });
        quantiles(&mut rows, &load, "call to answer", to_answer);
        quantiles(&mut rows, &load, "call to the last member", to_last);
        quantiles(&mut rows, &load, "answer to the last member", after_answer);
        rows.add(&load, "all", "changes not acknowledged", refused);
        memory(&mut rows, &load);
        rows.add(
            &load,
            "all",
            "resident KB a member at most",
            format!("{:.0}", (most - before) / count / 1024.0),
        );
    }

    // The leader goes; whoever wants a change asks again until it is acknowledged.
    let mut times = Vec::new();
    for _ in 0..core.saturating_sub(2).min(3) {
        let Some(leader) = fleet.leader(CONTROL) else { break };
        fleet.kill(leader);
        let began = fleet.now;
        let (base, at) = (version, size - 1);
        version += 1;
        while ms(fleet.now - began) < 20_000.0 {
            let text = configuration(version, 5_000);
            let answer = fleet.ask(at, Call::Configure { base, text }, 2.0);
            if let Some((when, _)) = answer.filter(|(_, a)| a.status == 200) {
                times.push(ms(when - began));
                break;
            }
            fleet.pass(0.02);
        }
        // Its seat goes to a spare, before the next one goes: by suspicion, and four seconds after that.
        fleet.pass(15.0);
    }
    quantiles(&mut rows, "leader killed", "kill to the next change acknowledged", times);

    let workers = 2 * size;
    fleet.add_workers(workers);
    fleet.pass(3.0);
    memory(&mut rows, "beats");
    rows.add("beats", "all", "workers", workers);
    spend(&mut fleet, &mut rows, "beats", |fleet| fleet.pass(options.beat_seconds));
    let (mut to_answer, mut to_last) = (Vec::new(), Vec::new());
    for drain in 0..CHANGES {
        let began = fleet.now;
        let (ticket, id) = fleet.drain(drain * 5 % workers);
        let everywhere = |fleet: &Fleet| fleet.drains[&id].have.len() >= fleet.living();
        let all = fleet.until(4.0, |fleet| everywhere(fleet) && fleet.answers.contains_key(&ticket));
        to_last.push(if all { ms(fleet.drains[&id].last - began) } else { f64::INFINITY });
        to_answer.extend(fleet.answers.get(&ticket).map(|(when, _)| ms(when - began)));
    }
    quantiles(&mut rows, "drains", "drain to answer", to_answer);
    quantiles(&mut rows, "drains", "drain to the last member", to_last);
}

/// A batch job of so many items with bodies of so many bytes.
fn batch_job(name: &str, items: usize, body: usize) -> Bytes {
    let body = "qrvM".repeat(body.div_ceil(3));
    let item = |n| {
        format!(r#"{{"id":"{name}-{n}","path":"/l/{n}","headers":{{}},"body":"{body}","token_count":100}}"#)
    };
    let items: Vec<String> = (0..items).map(item).collect();
    Bytes::from(format!(r#"{{"requests":[{}]}}"#, items.join(",")))
}

/// Batch jobs at a part's leader: items of 3 KB with outputs of 10 KB, 200 in a job; the worker takes `run` milliseconds.
fn item_rows(seed: u64) -> Vec<String> {
    const JOBS: usize = 25;
    const ITEMS: usize = 200;
    const MEASURED: u16 = 1;
    let mut rows = Rows { what: "items", size: JOBS * ITEMS, rows: Vec::new(), info: false };
    for run in [1, 300, 1500] {
        let load = format!("runs of {run} ms");
        let mut fleet = settled(14, seed);
        fleet.run_time = run * hollow::MS;
        fleet.output = Bytes::from(vec![b'x'; 10_000]);
        let Some(leader) = fleet.leader(MEASURED) else { continue };
        let memory = resident();
        let (began, spent) = (fleet.now, fleet.members.iter().map(|m| m.spent).collect::<Vec<_>>());
        let mut tickets = Vec::new();
        let names = (0..).map(|nth| format!("job-{nth}")).filter(|name| shard_of_job(name) == MEASURED);
        for (nth, job) in names.take(JOBS).enumerate() {
            let route = "lots".to_owned();
            let body = batch_job(&job, ITEMS, 3_000);
            tickets.push(fleet.call(4 + nth % 8, Call::Submit { job, route, body }));
            fleet.pass(0.01);
        }
        fleet.until(5.0, |fleet| tickets.iter().all(|t| fleet.answers.contains_key(t)));
        let accepted =
            tickets.iter().filter(|t| fleet.answers.get(t).is_some_and(|a| a.1.status == 202)).count();
        rows.add(&load, "part", "jobs accepted", accepted);
        rows.add(&load, "part", "items waiting", accepted * ITEMS);
        let held = (resident() - memory) / (accepted.max(1) * ITEMS) as f64 / 3.0 / 1024.0;
        if run == 1 {
            // Later ones are put where these were.
            rows.add(&load, "part", "resident KB an item waiting and replica", format!("{held:.1}"));
        }
        let submitted: Vec<Spent> = fleet.members.iter().map(|m| m.spent).collect();
        let items = (accepted * ITEMS) as u64;
        let (wall, cpu) = (Instant::now(), processor());
        fleet.until(120.0, |fleet| fleet.items_ran >= items);
        let seconds = (fleet.now - began) as f64 / SECOND as f64;
        fleet.pass(1.0);
        let had = ((processor() - cpu) / wall.elapsed().as_secs_f64()).min(1.0);
        rows.add(&load, "part", "items/s (virtual)", format!("{:.0}", fleet.items_ran as f64 / seconds));
        let followers: Vec<usize> = of_role(&fleet, Role::Store, &[leader]);
        for (role, places) in [("leader", vec![leader]), ("follower", followers)] {
            let each = |from: &[Spent], what: &dyn Fn(&Spent) -> f64| {
                let sum: f64 =
                    places.iter().map(|at| what(&fleet.members[*at].spent.since(&from[*at]))).sum();
                sum / places.len() as f64 / items.max(1) as f64
            };
            let busy = had * each(&submitted, &|s| s.busy.as_secs_f64());
            rows.add(&load, role, "core CPU us an item from run to listed", format!("{:.0}", 1e6 * busy));
            rows.add(&load, role, "items/s a core of processor", format!("{:.0}", 1.0 / busy));
            rows.add(&load, role, "log B an item", format!("{:.0}", each(&spent, &|s| s.saved_bytes as f64)));
            let rewritten = each(&spent, &|s| s.rewritten_bytes as f64);
            rows.add(&load, role, "of it by rewriting the log B an item", format!("{rewritten:.0}"));
            rows.add(&load, role, "saves an item", format!("{:.2}", each(&submitted, &|s| s.saves as f64)));
            let groups = Kind::Groups as usize;
            rows.add(
                &load,
                role,
                "group B an item out",
                format!("{:.0}", each(&spent, &|s| s.sent[groups] as f64)),
            );
        }
    }
    rows.rows
}

/// Commands that three replicas in memory commit, for each second of one core; disks save at once.
fn agreement_rows(_seed: u64) -> Vec<String> {
    let mut rows = Rows { what: "agreement", size: 3, rows: Vec::new(), info: false };
    for bytes in [100_usize, 1_000, 10_000] {
        for batch in [1_usize, 64] {
            let load = format!("{bytes} B by {batch}");
            let (commands, spent) = agree(bytes, batch);
            let each = spent / commands as f64;
            rows.add(&load, "three replicas", "commands", commands);
            rows.add(
                &load,
                "three replicas",
                "commands/s a core with all three on it",
                format!("{:.0}", 1.0 / each),
            );
            rows.add(&load, "three replicas", "us a command and replica", format!("{:.1}", 1e6 * each / 3.0));
        }
    }
    rows.rows
}

fn agree(bytes: usize, batch: usize) -> (usize, f64) {
    let member = |id: MemberId| {
        let at = SocketAddr::from(([10, 0, 0, id as u8], 7000));
        Member { id, name: format!("member-{id}"), zone: format!("zone-{id}"), address: at }
    };
    let group: Vec<Member> = (1..=3).map(member).collect();
    let settings = Settings {
        heartbeat_interval: SECOND / 10,
        election_timeout: 4 * SECOND / 10,
        min_replicas: 2,
        max_message_bytes: 256 << 10,
        compaction_threshold_bytes: 8 << 20,
        max_lag_bytes: 2 << 20,
    };
    let new = |m: &Member| Replica::new(m.clone(), group.clone(), settings, m.id, SECOND);
    let mut replicas: BTreeMap<MemberId, Replica> = group.iter().map(|m| (m.id, new(m))).collect();
    let mut now = SECOND;
    while !replicas.values().any(Replica::is_serving_leader) {
        now += SECOND / 100;
        replicas.values_mut().filter(|r| r.next_timeout() <= now).for_each(|r| r.handle_timeout(now));
        exchange(&mut replicas, now);
    }
    let leader = replicas.iter().find(|(_, r)| r.is_serving_leader()).map_or(0, |(id, _)| *id);
    let command = Bytes::from(vec![7; bytes]);
    let (began, cpu, mut commands) = (Instant::now(), processor(), 0);
    while began.elapsed() < Duration::from_millis(1500) {
        now += SECOND / 1000;
        for _ in 0..batch {
            let proposed = replicas.get_mut(&leader).and_then(|r| r.propose(now, command.clone()).ok());
            assert!(proposed.is_some(), "the leader leads on");
        }
        commands += exchange(&mut replicas, now) / 3;
        replicas.values_mut().filter(|r| r.next_timeout() <= now).for_each(|r| r.handle_timeout(now));
    }
    (commands, processor() - cpu)
}

/// Carries messages and saves until there are none; commands given to state machines.
fn exchange(replicas: &mut BTreeMap<MemberId, Replica>, now: Time) -> usize {
    let mut committed = 0;
    loop {
        let mut quiet = true;
        let ids: Vec<MemberId> = replicas.keys().copied().collect();
        for id in ids {
            let Some(replica) = replicas.get_mut(&id) else { continue };
            let output = replica.take_ready();
            committed += output.committed.len();
            if output.needs_compaction {
                let state = Bytes::from_static(b"state");
                replica.compact(now, Arc::new(InMemoryState::new(state, 1 << 10)));
            }
            let saved = output
                .records
                .last()
                .map(|(t, _)| *t)
                .max(output.rewrite.as_ref().map(|rewrite| rewrite.ticket));
            if let Some(ticket) = saved {
                replica.persisted(now, ticket);
                quiet = false;
            }
            for (to, bytes) in output.messages {
                if let Some(to) = replicas.get_mut(&to.id) {
                    to.receive(now, &bytes).expect("a message of its own kind");
                    quiet = false;
                }
            }
        }
        if quiet {
            return committed;
        }
    }
}
