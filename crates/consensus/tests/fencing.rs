//! Replica sets of the smallest size, `2f` members where `f` disks may be lost at once, through losses one after the other: the
//! remaining half goes on once another shard has fenced a lost disk, and what was committed is never lost.

mod common;

use common::{Cluster, MILLIS, Network, SECOND, member, settings};
use rainlug_consensus::{Member, MemberId};
use rand::Rng;
use rand::seq::IndexedRandom;

/// What the authority that decides on fences does wrong on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Authority {
    Correct,
    /// Each of two nodes is notified that the other one is fenced.
    ConflictingOrders,
    /// A disk is lost before the replica set that had lost one before is durable.
    LossBeforeHandover,
}

/// The authority: disks in the order in which they were fenced, of which each node is notified.
struct Fences {
    order: Vec<MemberId>,
}

impl Fences {
    /// Notifies a node of some of them, of all where `all`.
    fn notify(&self, cluster: &mut Cluster, id: MemberId, all: bool) {
        let count = if all { self.order.len() } else { cluster.rng.random_range(0..=self.order.len()) };
        cluster.fence(id, &self.order[..count]);
    }
    fn has(&self, id: MemberId) -> bool {
        self.order.contains(&id)
    }
}

#[derive(Default, Debug)]
struct FaultCounts {
    committed: usize,
    wipes: usize,
    fenced_alive: usize,
    replaced: usize,
}

struct FaultRun {
    cluster: Cluster,
    fences: Fences,
    authority: Authority,
    spares: Vec<Member>,
    /// Disks that may be lost at once.
    tolerated_losses: usize,
    counts: FaultCounts,
}

impl FaultRun {
    fn new(seed: u64, tolerated_losses: usize, authority: Authority) -> Self {
        let founding: Vec<MemberId> = (1..=2 * tolerated_losses as u64).collect();
        let mut cluster = Cluster::new(seed, &founding, settings(tolerated_losses + 1));
        cluster.network = Network { loss: 0.02, duplication: 0.02, delay: 0.02 };
        let fences = Fences { order: vec![] };
        Self { cluster, fences, authority, spares: vec![], tolerated_losses, counts: FaultCounts::default() }
    }

    fn nodes_with_disk(&self) -> Vec<MemberId> {
        self.cluster.nodes.iter().filter(|(_, node)| !node.has_lost_disk).map(|(&id, _)| id).collect()
    }

    /// The replica set of the leader of the newest term anywhere, where it is durable.
    fn durable_replica_set(&self) -> Option<(MemberId, Vec<Member>)> {
        let leader = self.cluster.leader()?;
        let replica = self.cluster.replica(leader);
        let newest = self.cluster.nodes.values().filter_map(|node| Some(node.replica.as_ref()?.term())).max();
        let current = Some(replica.term()) == newest && replica.term() >= self.cluster.newest_serving_term;
        (current && replica.is_replica_set_durable()).then(|| (leader, replica.members().to_vec()))
    }

    /// Whether a member is lost, or fenced and so of no use at the next loss.
    fn is_missing(&self, member: &Member) -> bool {
        self.cluster.nodes[&member.id].has_lost_disk || self.fences.has(member.id)
    }

    fn missing(&self, members: &[Member]) -> usize {
        members.iter().filter(|member| self.is_missing(member)).count()
    }

    fn wipe_disk(&mut self, id: MemberId) {
        let new = self.cluster.wipe_disk(id);
        self.spares.push(member(new));
        self.fences.order.push(id);
        self.counts.wipes += 1;
    }

    fn add_spare(&mut self) {
        self.cluster.next_id += 1;
        let id = self.cluster.next_id;
        self.cluster.add(id, vec![]);
        self.spares.push(member(id));
    }

    /// One more loss, where the replica set tolerates it.
    fn lose_disk(&mut self) {
        let at_once = self.authority == Authority::LossBeforeHandover;
        let Some((_, replica_set)) = self.durable_replica_set() else { return };
        let intact: Vec<MemberId> =
            replica_set.iter().filter(|member| !self.is_missing(member)).map(|member| member.id).collect();
        let Some(&one) = intact.choose(&mut self.cluster.rng) else { return };
        if self.missing(&replica_set) >= self.tolerated_losses {
            return;
        }
        if self.cluster.rng.random_bool(0.3) {
            // It is only away for long, and comes back; another member has replaced it by then.
            self.cluster.crash(one);
            self.fences.order.push(one);
            self.add_spare();
            self.counts.fenced_alive += 1;
        } else {
            self.wipe_disk(one);
        }
        if at_once {
            let rest: Vec<MemberId> = intact.into_iter().filter(|id| *id != one).collect();
            if let Some(&two) = rest.choose(&mut self.cluster.rng) {
                self.wipe_disk(two);
            }
        }
    }

    /// The leader replaces a member that is lost or fenced by a spare; or it swaps, adds or removes one.
    fn change_replica_set(&mut self) {
        let Some(leader) = self.cluster.elected_leader() else { return };
        let replica = self.cluster.replica(leader);
        if !replica.is_replica_set_committed() {
            return;
        }
        let members = replica.members().to_vec();
        match members.iter().position(|member| self.is_missing(member)) {
            Some(missing) => self.replace_member(leader, members, missing),
            None => self.change_at_random(leader, members),
        }
    }

    fn replace_member(&mut self, leader: MemberId, mut members: Vec<Member>, missing: usize) {
        let Some(spare) = self.spares.iter().position(|spare| !self.is_missing(spare)) else { return };
        members[missing] = self.spares[spare].clone();
        if self.cluster.change_replica_set(leader, members).is_ok() {
            self.spares.remove(spare);
            self.counts.replaced += 1;
        }
    }

    fn change_at_random(&mut self, leader: MemberId, mut members: Vec<Member>) {
        let min_members = 2 * self.tolerated_losses;
        let position = self.cluster.rng.random_range(0..members.len());
        if members.len() > min_members && self.cluster.rng.random() {
            members.remove(position);
        } else {
            self.cluster.next_id += 1;
            let id = self.cluster.next_id;
            self.cluster.add(id, vec![]);
            if members.len() < min_members + 2 && self.cluster.rng.random() {
                members.push(member(id));
            } else {
                members[position] = member(id);
            }
        }
        let _ = self.cluster.change_replica_set(leader, members);
    }

    fn step(&mut self) {
        let pause = self.cluster.rng.random_range(MILLIS..60 * MILLIS);
        self.cluster.run_for(pause);
        let up = self.nodes_with_disk();
        let Some(&one) = up.choose(&mut self.cluster.rng) else { return };
        let Some(&two) = up.choose(&mut self.cluster.rng) else { return };
        let leader = self.cluster.elected_leader();
        match self.cluster.rng.random_range(0..100) {
            0..30 => {
                let padding = self.cluster.rng.random_range(0..300);
                self.cluster.propose(leader.unwrap_or(one), padding);
            }
            30..40 => {
                self.cluster.read(leader.unwrap_or(one));
                self.cluster.read(one);
            }
            40..44 => self.cluster.crash(one),
            44..46 => up.iter().for_each(|&id| self.cluster.power_off(id)),
            46..56 => up.iter().for_each(|&id| self.cluster.start(id)),
            56..58 => {
                let time = self.cluster.rng.random_range(10 * MILLIS..SECOND);
                self.cluster.freeze(one, time);
            }
            58..61 => self.cluster.block_link(one, two),
            61..66 => self.cluster.blocked_links.clear(),
            66..72 => self.lose_disk(),
            72..86 => self.fences.notify(&mut self.cluster, one, false),
            _ => self.change_replica_set(),
        }
        if self.authority == Authority::ConflictingOrders && one != two {
            self.cluster.fence(one, &[two]);
            self.cluster.fence(two, &[one]);
        }
    }

    /// The faults end; what must then be.
    fn end_faults(&mut self) -> Result<(), String> {
        self.cluster.network = Network { loss: 0.0, duplication: 0.0, delay: 0.0 };
        self.cluster.blocked_links.clear();
        for _ in 0..300 {
            for id in self.nodes_with_disk() {
                self.cluster.start(id);
                self.fences.notify(&mut self.cluster, id, true);
            }
            self.cluster.run_for(100 * MILLIS);
            let intact = self.durable_replica_set().filter(|(_, replica_set)| self.missing(replica_set) == 0);
            if let Some((_, replica_set)) = intact {
                return self.caught_up(&replica_set);
            }
            self.replace_missing();
        }
        Err("the replica set never became complete".to_owned())
    }

    fn replace_missing(&mut self) {
        let Some(leader) = self.cluster.elected_leader() else { return };
        if self.missing(self.cluster.replica(leader).members()) > 0 {
            if self.spares.iter().all(|spare| self.fences.has(spare.id)) {
                self.add_spare();
            }
            self.change_replica_set();
        }
    }

    fn caught_up(&mut self, replica_set: &[Member]) -> Result<(), String> {
        // A leader may be replaced as it is asked.
        let mut last = None;
        for _ in 0..100 {
            last = self.cluster.leader().and_then(|leader| self.cluster.propose(leader, 0));
            if last.is_some_and(|last| self.cluster.run_until(SECOND, |cluster| cluster.is_committed(last))) {
                break;
            }
            self.cluster.run_for(100 * MILLIS);
        }
        let last = last.ok_or("a complete replica set does not take a command")?;
        let done = self.cluster.run_until(60 * SECOND, |cluster| {
            replica_set
                .iter()
                .all(|member| cluster.nodes[&member.id].applied.last().is_some_and(|(_, id)| *id >= last))
        });
        if done { Ok(()) } else { Err("not all caught up after the faults".to_owned()) }
    }
}

fn run_schedule(seed: u64, tolerated_losses: usize, authority: Authority) -> Result<FaultCounts, String> {
    let mut run = FaultRun::new(seed, tolerated_losses, authority);
    for _ in 0..400 {
        run.step();
        if let Some(violation) = run.cluster.violation.take() {
            return Err(violation);
        }
    }
    let healed = run.end_faults();
    if let Some(violation) = run.cluster.violation.take() {
        return Err(violation);
    }
    healed?;
    run.counts.committed = run.cluster.history.len();
    Ok(run.counts)
}

fn run_schedules(seeds: std::ops::Range<u64>, tolerated_losses: usize) {
    let mut all = FaultCounts::default();
    let mut violations = vec![];
    for seed in seeds {
        match run_schedule(seed, tolerated_losses, Authority::Correct) {
            Ok(counts) => {
                all.committed += counts.committed;
                all.wipes += counts.wipes;
                all.fenced_alive += counts.fenced_alive;
                all.replaced += counts.replaced;
            }
            Err(what) => violations.push(format!("seed {seed}: {what}")),
        }
    }
    println!("{all:?}");
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(all.committed > 100 && all.wipes > 0 && all.fenced_alive > 0 && all.replaced > 0, "{all:?}");
}

#[test]
fn given_replica_sets_of_two_when_disks_are_lost_in_turn_then_nothing_committed_is_lost() {
    run_schedules(0..200, 1);
}

#[test]
fn given_replica_sets_of_four_when_two_disks_are_lost_at_once_then_nothing_committed_is_lost() {
    run_schedules(0..100, 2);
}

fn is_found(authority: Authority) -> bool {
    (0..200).any(|seed| run_schedule(seed, 1, authority).is_err())
}

#[test]
fn given_fences_in_conflicting_orders_when_disks_are_lost_then_the_checker_finds_it() {
    let found = (0..200).any(|seed| {
        run_schedule(seed, 1, Authority::ConflictingOrders).is_err_and(|what| what.starts_with("at "))
    });
    assert!(found);
}

#[test]
fn given_a_loss_before_the_replica_set_is_durable_when_disks_are_lost_then_the_checker_finds_it() {
    assert!(is_found(Authority::LossBeforeHandover));
}

#[test]
fn given_a_replica_set_of_two_when_one_disk_is_lost_then_only_its_fence_lets_the_other_lead() {
    let mut cluster = Cluster::new(1, &[1, 2], settings(2));
    let leader = cluster.wait_for_leader();
    let command = cluster.propose(leader, 0).expect("it leads");
    cluster.wait_for_commit(command);
    let (lost, left) = (leader, 3 - leader);
    let new = cluster.wipe_disk(lost);
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.leader(), None, "one of two is no quorum");
    cluster.fence(left, &[lost]);
    cluster.run_for(5 * SECOND);
    assert_eq!((cluster.elected_leader(), cluster.leader()), (Some(left), None), "it may not serve yet");
    // It leads, but commits nothing more until two disks hold it.
    let single_leader = cluster.propose(left, 0).expect("it leads");
    cluster.run_for(5 * SECOND);
    assert!(!cluster.is_committed(single_leader));
    cluster.change_replica_set(left, vec![member(left), member(new)]).expect("no change is in progress");
    cluster.wait_for_commit(single_leader);
    assert!(cluster.run_until(SECOND, |cluster| cluster.replica(left).is_replica_set_durable()));
    // The next loss, of the one that had all: the new member has it now.
    let newest = cluster.wipe_disk(left);
    cluster.fence(new, &[lost, left]);
    assert!(cluster.run_until(5 * SECOND, |cluster| cluster.elected_leader() == Some(new)));
    cluster.change_replica_set(new, vec![member(new), member(newest)]).expect("no change is in progress");
    let last = cluster.propose(new, 0).expect("it leads");
    cluster.wait_for_commit(last);
    assert_eq!(cluster.history.len(), 3, "nothing is lost: {:?}", cluster.history);
    cluster.assert_sound();
}

#[test]
fn given_a_fenced_member_that_comes_back_when_it_campaigns_then_it_is_not_elected() {
    let mut cluster = Cluster::new(2, &[1, 2], settings(2));
    let leader = cluster.wait_for_leader();
    let (away, left) = (leader, 3 - leader);
    cluster.crash(away);
    cluster.fence(left, &[away]);
    assert!(cluster.run_until(5 * SECOND, |cluster| cluster.elected_leader() == Some(left)));
    cluster.add(3, vec![]);
    cluster.change_replica_set(left, vec![member(left), member(3)]).expect("no change is in progress");
    assert!(cluster.run_until(5 * SECOND, |cluster| cluster.replica(left).is_replica_set_durable()));
    // The one that is away knows nothing of it, and reaches nobody of the new replica set.
    cluster.start(away);
    cluster.block_link(away, left);
    cluster.block_link(left, away);
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.leader(), Some(left));
    // Nor when it is notified of fences: they come in their order, its own first.
    cluster.fence(away, &[away]);
    cluster.fence(away, &[away, left]);
    cluster.run_for(5 * SECOND);
    assert_eq!(cluster.leader(), Some(left));
    cluster.assert_sound();
}
