//! Random courses of faults, each by its seed: what must hold does, and the group recovers when the faults end.

mod common;

use common::{Fault, MILLIS, Network, SECOND, World, member, settings};
use rainlug_consensus::Member;
use rand::Rng;
use rand::seq::IndexedRandom;

/// How much of what a course had in it.
#[derive(Default, Debug)]
struct Had {
    committed: usize,
    reads: usize,
    wipes: usize,
    changes: usize,
    crashes: usize,
}

/// One course of faults among so many founding members.
fn course(seed: u64, size: u64, fault: Fault) -> Result<Had, String> {
    let founding: Vec<u64> = (1..=size).collect();
    let most_lost = usize::try_from(size - 1).expect("few") / 2;
    let mut world = World::new(seed, &founding, settings(most_lost + 1));
    world.fault = fault;
    world.network = Network { loss: 0.02, twice: 0.02, slow: 0.02 };
    if fault == Fault::EarlySaved {
        // Slow disks, so that more is lost of what was called saved: with quick ones one course in a hundred shows the lie.
        world.nodes.values_mut().for_each(|node| node.disk_delay *= 20);
    }
    let mut had = Had::default();
    let mut spares: Vec<Member> = vec![];
    for _ in 0..400 {
        let pause = world.rng.random_range(MILLIS..60 * MILLIS);
        world.run_for(pause);
        if let Some(violation) = world.violation.take() {
            return Err(violation);
        }
        let ids: Vec<u64> = world.nodes.iter().filter(|(_, node)| !node.lost).map(|(&id, _)| id).collect();
        let Some(&one) = ids.choose(&mut world.rng) else { continue };
        let Some(&two) = ids.choose(&mut world.rng) else { continue };
        let leader = world.leader();
        match world.rng.random_range(0..100) {
            0..40 => {
                for _ in 0..world.rng.random_range(1..5) {
                    let at = if world.rng.random() { leader.unwrap_or(one) } else { one };
                    let padding = world.rng.random_range(0..300);
                    world.propose(at, padding);
                }
            }
            40..60 => {
                world.read(leader.unwrap_or(one));
                world.read(one);
            }
            60..66 => {
                world.crash(one);
                had.crashes += 1;
            }
            66..68 => {
                for &id in &ids {
                    world.power_off(id);
                    had.crashes += 1;
                }
            }
            68..78 => {
                for &id in &ids {
                    world.start(id);
                }
            }
            78..82 => {
                let time = world.rng.random_range(10 * MILLIS..SECOND);
                world.freeze(one, time);
            }
            82..85 => world.cut(one, two),
            85..86 => world.isolate(one),
            86..90 => world.cuts.clear(),
            90..94 => {
                // No more disks at once than the group bears: the newest group is agreed on, and has lost few.
                let Some(leader) = leader else { continue };
                let newest =
                    world.nodes.values().filter_map(|node| Some(node.replica.as_ref()?.term())).max();
                let replica = world.replica(leader);
                let (group, settled) = (replica.members(), replica.is_replica_set_committed());
                let gone = group.iter().filter(|member| world.nodes[&member.id].lost).count();
                let size = group.len();
                if Some(replica.term()) == newest
                    && replica.term() >= world.leads_seen
                    && settled
                    // Under its old id one loss is enough to go wrong.
                    && (fault != Fault::OldId || had.wipes == 0)
                    && gone < most_lost.min((size - 1) / 2)
                    && group.iter().any(|member| member.id == one)
                {
                    spares.push(member(world.wipe(one)));
                    had.wipes += 1;
                }
            }
            _ => {
                let Some(leader) = leader else { continue };
                let (group, settled) =
                    (world.replica(leader).members(), world.replica(leader).is_replica_set_committed());
                let group = group.to_vec();
                if settled && change(&mut world, leader, group, &mut spares) {
                    had.changes += 1;
                }
            }
        }
    }
    // The faults end.
    world.network = Network { loss: 0.0, twice: 0.0, slow: 0.0 };
    world.cuts.clear();
    let ids: Vec<u64> = world.nodes.keys().copied().collect();
    for id in ids {
        world.start(id);
    }
    let healthy = world.run_until(60 * SECOND, |world| world.leader().is_some());
    if let Some(violation) = world.violation.take() {
        return Err(violation);
    }
    if !healthy {
        return Err("no leader after the faults".to_owned());
    }
    let mut last = None;
    for _ in 0..100 {
        world.run_for(100 * MILLIS);
        last = world.leader().and_then(|leader| world.propose(leader, 0));
        if last.is_some() {
            break;
        }
    }
    let caught_up = last.is_some_and(|last| {
        world.run_until(60 * SECOND, |world| {
            let Some(leader) = world.leader() else { return false };
            let (group, settled) =
                (world.replica(leader).members(), world.replica(leader).is_replica_set_committed());
            settled
                && group.iter().all(|member| {
                    let node = &world.nodes[&member.id];
                    node.lost || node.applied.last().is_some_and(|(_, id)| *id >= last)
                })
        })
    });
    if let Some(violation) = world.violation.take() {
        return Err(violation);
    }
    if !caught_up {
        return Err("not all caught up after the faults".to_owned());
    }
    let leader = world.leader().ok_or("no leader at the end")?;
    let ticket = world.read(leader).ok_or("no read at the end")?;
    if !world.run_until(SECOND, |world| world.nodes[&leader].reads.get(&ticket) == Some(&Ok(()))) {
        return Err("no answer to a read at the end".to_owned());
    }
    had.committed = world.history.len();
    had.reads = world.answered;
    Ok(had)
}

/// Swaps a member that has lost its disk, or else grows, shrinks or swaps by chance.
fn change(world: &mut World, leader: u64, mut group: Vec<Member>, spares: &mut Vec<Member>) -> bool {
    let gone = group.iter().position(|member| world.nodes[&member.id].lost);
    if let Some(gone) = gone {
        let Some(spare) = spares.iter().position(|spare| !world.nodes[&spare.id].lost) else { return false };
        group[gone] = spares[spare].clone();
        let done = world.change(leader, group).is_ok();
        if done {
            spares.remove(spare);
        }
        return done;
    }
    let least = 2 * world.settings.min_replicas - 1;
    match world.rng.random_range(0..3) {
        0 if group.len() < least + 2 => {
            world.next_id += 1;
            let id = world.next_id;
            world.add(id, vec![]);
            group.push(member(id));
        }
        1 if group.len() > least => {
            let place = world.rng.random_range(0..group.len());
            group.remove(place);
        }
        _ => {
            world.next_id += 1;
            let id = world.next_id;
            world.add(id, vec![]);
            let place = world.rng.random_range(0..group.len());
            group[place] = member(id);
        }
    }
    world.change(leader, group).is_ok()
}

fn courses(seeds: std::ops::Range<u64>, size: u64) {
    let mut all = Had::default();
    for seed in seeds {
        match course(seed, size, Fault::None) {
            Ok(had) => {
                all.committed += had.committed;
                all.reads += had.reads;
                all.wipes += had.wipes;
                all.changes += had.changes;
                all.crashes += had.crashes;
            }
            Err(what) => panic!("seed {seed}: {what}"),
        }
    }
    println!("{all:?}");
    // They are courses of something.
    assert!(all.committed > 100 && all.reads > 100 && all.wipes > 0 && all.changes > 0, "{all:?}");
}

#[test]
fn three_members_hold_through_faults() {
    courses(0..100, 3);
}

#[test]
fn three_members_hold_through_more_faults() {
    courses(1000..1100, 3);
}

#[test]
fn five_members_hold_through_faults() {
    courses(2000..2060, 5);
}

/// Whether in one of these courses what must never be was.
fn is_found(fault: Fault, seeds: std::ops::Range<u64>) -> bool {
    seeds.into_iter().any(|seed| course(seed, 3, fault).is_err_and(|what| what.starts_with("at ")))
}

#[test]
fn the_checker_finds_disks_that_lie() {
    assert!(is_found(Fault::EarlySaved, 0..200));
}

#[test]
fn the_checker_finds_a_lost_disk_under_its_old_id() {
    assert!(is_found(Fault::OldId, 0..200));
}
