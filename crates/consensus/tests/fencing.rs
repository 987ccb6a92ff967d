//! Groups of the least size, `2f` members where `f` disks may be lost at once, through losses one after the other: the half that
//! is left goes on once another group has fenced a lost disk, and what was committed is never lost.

mod common;

use common::{MILLIS, Network, SECOND, World, member, settings};
use rainlug_consensus::{Member, MemberId};
use rand::Rng;
use rand::seq::IndexedRandom;

/// What the authority that decides on fences does wrong on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Authority {
    Right,
    /// Two nodes are each told that the other one is fenced.
    InTwoOrders,
    /// A disk is lost before the group that had lost one before has handed over.
    NextLossAtOnce,
}

/// The authority: disks in the order in which they were fenced, and how many each node was told of.
struct Fences {
    order: Vec<MemberId>,
}

impl Fences {
    /// Tells a node of some of them, all where `all`.
    fn tell(&self, world: &mut World, id: MemberId, all: bool) {
        let count = if all { self.order.len() } else { world.rng.random_range(0..=self.order.len()) };
        world.fence(id, &self.order[..count]);
    }
    fn has(&self, id: MemberId) -> bool {
        self.order.contains(&id)
    }
}

#[derive(Default, Debug)]
struct Had {
    committed: usize,
    wipes: usize,
    fenced_alive: usize,
    replaced: usize,
}

struct Course {
    world: World,
    fences: Fences,
    authority: Authority,
    spares: Vec<Member>,
    /// Disks that may be lost at once.
    bears: usize,
    had: Had,
}

impl Course {
    fn new(seed: u64, bears: usize, authority: Authority) -> Self {
        let founding: Vec<MemberId> = (1..=2 * bears as u64).collect();
        let mut world = World::new(seed, &founding, settings(bears + 1));
        world.network = Network { loss: 0.02, twice: 0.02, slow: 0.02 };
        let fences = Fences { order: vec![] };
        Self { world, fences, authority, spares: vec![], bears, had: Had::default() }
    }

    fn up(&self) -> Vec<MemberId> {
        self.world.nodes.iter().filter(|(_, node)| !node.lost).map(|(&id, _)| id).collect()
    }

    /// The group of the leader of the newest term anywhere, where it is known to hold all.
    fn handed_over(&self) -> Option<(MemberId, Vec<Member>)> {
        let leader = self.world.leader()?;
        let replica = self.world.replica(leader);
        let newest = self.world.nodes.values().filter_map(|node| Some(node.replica.as_ref()?.term())).max();
        let current = Some(replica.term()) == newest && replica.term() >= self.world.leads_seen;
        (current && replica.is_replica_set_durable()).then(|| (leader, replica.members().to_vec()))
    }

    /// Members of a group that are lost, or fenced and so no part of what bears the next loss.
    fn missing(&self, group: &[Member]) -> usize {
        group.iter().filter(|m| self.world.nodes[&m.id].lost || self.fences.has(m.id)).count()
    }

    fn wipe(&mut self, id: MemberId) {
        let new = self.world.wipe(id);
        self.spares.push(member(new));
        self.fences.order.push(id);
        self.had.wipes += 1;
    }

    fn add_spare(&mut self) {
        self.world.next_id += 1;
        let id = self.world.next_id;
        self.world.add(id, vec![]);
        self.spares.push(member(id));
    }

    /// One more loss, where the group bears it.
    fn lose(&mut self) {
        let at_once = self.authority == Authority::NextLossAtOnce;
        let group = match self.handed_over() {
            Some((_, group)) => group,
            None => return,
        };
        let whole: Vec<MemberId> = group
            .iter()
            .map(|member| member.id)
            .filter(|id| !self.world.nodes[id].lost && !self.fences.has(*id))
            .collect();
        let Some(&one) = whole.choose(&mut self.world.rng) else { return };
        if self.missing(&group) >= self.bears {
            return;
        }
        if self.world.rng.random_bool(0.3) {
            // It is only away for long, and comes back; its seat is for another machine by then.
            self.world.crash(one);
            self.fences.order.push(one);
            self.add_spare();
            self.had.fenced_alive += 1;
        } else {
            self.wipe(one);
        }
        if at_once {
            let rest: Vec<MemberId> = whole.into_iter().filter(|id| *id != one).collect();
            if let Some(&two) = rest.choose(&mut self.world.rng) {
                self.wipe(two);
            }
        }
    }

    /// The leader gives a seat that is lost or fenced to a spare; or swaps, grows or shrinks.
    fn change(&mut self) {
        let Some(leader) = self.world.elected() else { return };
        let (group, settled) =
            (self.world.replica(leader).members(), self.world.replica(leader).is_replica_set_committed());
        let mut group = group.to_vec();
        if !settled {
            return;
        }
        let out = group.iter().position(|m| self.world.nodes[&m.id].lost || self.fences.has(m.id));
        let least = 2 * self.bears;
        if let Some(out) = out {
            let spare =
                self.spares.iter().position(|m| !self.world.nodes[&m.id].lost && !self.fences.has(m.id));
            let Some(spare) = spare else { return };
            group[out] = self.spares[spare].clone();
            if self.world.change(leader, group).is_ok() {
                self.spares.remove(spare);
                self.had.replaced += 1;
            }
            return;
        }
        let place = self.world.rng.random_range(0..group.len());
        if group.len() > least && self.world.rng.random() {
            group.remove(place);
        } else {
            self.world.next_id += 1;
            let id = self.world.next_id;
            self.world.add(id, vec![]);
            if group.len() < least + 2 && self.world.rng.random() {
                group.push(member(id));
            } else {
                group[place] = member(id);
            }
        }
        let _ = self.world.change(leader, group);
    }

    fn step(&mut self) {
        let pause = self.world.rng.random_range(MILLIS..60 * MILLIS);
        self.world.run_for(pause);
        let up = self.up();
        let Some(&one) = up.choose(&mut self.world.rng) else { return };
        let Some(&two) = up.choose(&mut self.world.rng) else { return };
        let leader = self.world.elected();
        match self.world.rng.random_range(0..100) {
            0..30 => {
                let padding = self.world.rng.random_range(0..300);
                self.world.propose(leader.unwrap_or(one), padding);
            }
            30..40 => {
                self.world.read(leader.unwrap_or(one));
                self.world.read(one);
            }
            40..44 => self.world.crash(one),
            44..46 => up.iter().for_each(|&id| self.world.power_off(id)),
            46..56 => up.iter().for_each(|&id| self.world.start(id)),
            56..58 => {
                let time = self.world.rng.random_range(10 * MILLIS..SECOND);
                self.world.freeze(one, time);
            }
            58..61 => self.world.cut(one, two),
            61..66 => self.world.cuts.clear(),
            66..72 => self.lose(),
            72..86 => self.fences.tell(&mut self.world, one, false),
            _ => self.change(),
        }
        if self.authority == Authority::InTwoOrders && one != two {
            self.world.fence(one, &[two]);
            self.world.fence(two, &[one]);
        }
    }

    /// The faults end; what must then be.
    fn heal(&mut self) -> Result<(), String> {
        self.world.network = Network { loss: 0.0, twice: 0.0, slow: 0.0 };
        self.world.cuts.clear();
        for _ in 0..300 {
            for id in self.up() {
                self.world.start(id);
                self.fences.tell(&mut self.world, id, true);
            }
            self.world.run_for(100 * MILLIS);
            let whole = self.handed_over().filter(|(_, group)| self.missing(group) == 0);
            if let Some((_, group)) = whole {
                return self.caught_up(&group);
            }
            self.replace_missing();
        }
        Err("the group never got whole".to_owned())
    }

    fn replace_missing(&mut self) {
        let Some(leader) = self.world.elected() else { return };
        if self.missing(self.world.replica(leader).members()) > 0 {
            if self.spares.iter().all(|spare| self.fences.has(spare.id)) {
                self.add_spare();
            }
            self.change();
        }
    }

    fn caught_up(&mut self, group: &[Member]) -> Result<(), String> {
        // A leader may be replaced as it is asked.
        let mut last = None;
        for _ in 0..100 {
            last = self.world.leader().and_then(|leader| self.world.propose(leader, 0));
            if last.is_some_and(|last| self.world.run_until(SECOND, |world| world.is_committed(last))) {
                break;
            }
            self.world.run_for(100 * MILLIS);
        }
        let last = last.ok_or("a whole group does not take a command")?;
        let done = self.world.run_until(60 * SECOND, |world| {
            group
                .iter()
                .all(|member| world.nodes[&member.id].applied.last().is_some_and(|(_, id)| *id >= last))
        });
        if done { Ok(()) } else { Err("not all caught up after the faults".to_owned()) }
    }
}

fn course(seed: u64, bears: usize, authority: Authority) -> Result<Had, String> {
    let mut course = Course::new(seed, bears, authority);
    for _ in 0..400 {
        course.step();
        if let Some(violation) = course.world.violation.take() {
            return Err(violation);
        }
    }
    let healed = course.heal();
    if let Some(violation) = course.world.violation.take() {
        return Err(violation);
    }
    healed?;
    course.had.committed = course.world.history.len();
    Ok(course.had)
}

fn courses(seeds: std::ops::Range<u64>, bears: usize) {
    let mut all = Had::default();
    let mut wrong = vec![];
    for seed in seeds {
        match course(seed, bears, Authority::Right) {
            Ok(had) => {
                all.committed += had.committed;
                all.wipes += had.wipes;
                all.fenced_alive += had.fenced_alive;
                all.replaced += had.replaced;
            }
            Err(what) => wrong.push(format!("seed {seed}: {what}")),
        }
    }
    println!("{all:?}");
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert!(all.committed > 100 && all.wipes > 0 && all.fenced_alive > 0 && all.replaced > 0, "{all:?}");
}

#[test]
fn given_groups_of_two_when_disks_are_lost_in_turn_then_nothing_committed_is_lost() {
    courses(0..200, 1);
}

#[test]
fn given_groups_of_four_when_two_disks_are_lost_at_once_then_nothing_committed_is_lost() {
    courses(0..100, 2);
}

fn is_found(authority: Authority) -> bool {
    (0..200).any(|seed| course(seed, 1, authority).is_err())
}

#[test]
fn given_fences_in_two_orders_then_the_checker_finds_it() {
    let found = (0..200)
        .any(|seed| course(seed, 1, Authority::InTwoOrders).is_err_and(|what| what.starts_with("at ")));
    assert!(found);
}

#[test]
fn given_a_loss_before_the_group_has_handed_over_then_the_checker_finds_it() {
    assert!(is_found(Authority::NextLossAtOnce));
}

#[test]
fn given_a_group_of_two_when_one_disk_is_lost_then_only_its_fence_lets_the_other_lead() {
    let mut world = World::new(1, &[1, 2], settings(2));
    let leader = world.elect();
    let command = world.propose(leader, 0).expect("it leads");
    world.commit(command);
    let (lost, left) = (leader, 3 - leader);
    let new = world.wipe(lost);
    world.run_for(5 * SECOND);
    assert_eq!(world.leader(), None, "one of two is no quorum");
    world.fence(left, &[lost]);
    world.run_for(5 * SECOND);
    assert_eq!((world.elected(), world.leader()), (Some(left), None), "it may not serve yet");
    // It leads, but commits nothing more until two disks hold it.
    let alone = world.propose(left, 0).expect("it leads");
    world.run_for(5 * SECOND);
    assert!(!world.is_committed(alone));
    world.change(left, vec![member(left), member(new)]).expect("the group is settled");
    world.commit(alone);
    assert!(world.run_until(SECOND, |world| world.replica(left).is_replica_set_durable()));
    // The next loss, of the one that held all: the newcomer does now.
    let newest = world.wipe(left);
    world.fence(new, &[lost, left]);
    assert!(world.run_until(5 * SECOND, |world| world.elected() == Some(new)));
    world.change(new, vec![member(new), member(newest)]).expect("the group is settled");
    let last = world.propose(new, 0).expect("it leads");
    world.commit(last);
    assert_eq!(world.history.len(), 3, "nothing is lost: {:?}", world.history);
    world.sound();
}

#[test]
fn given_a_fenced_member_that_comes_back_when_it_stands_then_it_is_not_elected() {
    let mut world = World::new(2, &[1, 2], settings(2));
    let leader = world.elect();
    let (away, left) = (leader, 3 - leader);
    world.crash(away);
    world.fence(left, &[away]);
    assert!(world.run_until(5 * SECOND, |world| world.elected() == Some(left)));
    world.add(3, vec![]);
    world.change(left, vec![member(left), member(3)]).expect("the group is settled");
    assert!(world.run_until(5 * SECOND, |world| world.replica(left).is_replica_set_durable()));
    // The one that is away knows nothing of it, and meets nobody of the new group.
    world.start(away);
    world.cut(away, left);
    world.cut(left, away);
    world.run_for(5 * SECOND);
    assert_eq!(world.leader(), Some(left));
    // Nor when it hears of fences: they come in their order, its own first.
    world.fence(away, &[away]);
    world.fence(away, &[away, left]);
    world.run_for(5 * SECOND);
    assert_eq!(world.leader(), Some(left));
    world.sound();
}
