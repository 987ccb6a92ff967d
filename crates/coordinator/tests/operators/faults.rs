//! What befalls a fleet's machines while operators work: cuts of every kind, stops and losses, never more at once than is tolerated.

use rainlug_coordinator::{CONTROL, shard_of_job};

use crate::common::Fleet;
use crate::operator::Campaign;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing passes to or from any other machine.
    Isolate,
    /// It hears the others; they do not hear it.
    BlockOutbound,
    /// They hear it; it does not hear them.
    BlockInbound,
    /// From the other machines with a disk only.
    PartitionFromCore,
    /// Cut off, and cut off again a moment after it is back.
    IsolateAgain,
    /// Cut off and restarted; then the others of the core, one after the other.
    IsolateAndRestart,
    Kill,
    PowerLoss,
    /// It comes back with an empty disk.
    Wipe,
    Freeze,
    /// All machines of the core lose power at once.
    PowerLossOfAll,
}

pub const FAULTS: [Fault; 11] = [
    Fault::Isolate,
    Fault::BlockOutbound,
    Fault::BlockInbound,
    Fault::PartitionFromCore,
    Fault::IsolateAgain,
    Fault::IsolateAndRestart,
    Fault::Kill,
    Fault::PowerLoss,
    Fault::Wipe,
    Fault::Freeze,
    Fault::PowerLossOfAll,
];

/// Whom a fault befalls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Victim {
    Leader,
    /// The disk that has lasted longest; it is a seed too.
    Oldest,
    Follower,
    /// The store that leads the batch jobs of the configuration's route, where there are stores.
    StoreLeader,
}

pub const VICTIMS: [Victim; 3] = [Victim::Leader, Victim::Oldest, Victim::Follower];

/// Pause between the restarts of a rolling restart.
const RESTART: f64 = 0.5;
/// Pause after which a group has taken a new disk in.
const REJOIN: f64 = 6.0;

pub fn core(fleet: &Fleet) -> Vec<usize> {
    let machines = fleet.machines.iter().enumerate();
    machines.filter(|(_, m)| m.gateway && m.disk.is_some()).map(|(at, _)| at).collect()
}

/// The machine that is meant now.
pub fn pick(fleet: &Fleet, victim: Victim) -> usize {
    let core = core(fleet);
    let leader = fleet.leader(CONTROL).unwrap_or(core[0]);
    match victim {
        Victim::Leader => leader,
        Victim::Oldest => core[0],
        Victim::StoreLeader => fleet.leader(shard_of_job("job0")).unwrap_or(core[0]),
        Victim::Follower => core.into_iter().rfind(|at| *at != leader).unwrap_or(leader),
    }
}

/// Cuts a machine off in the way of a fault.
pub fn partition(campaign: &mut Campaign, fault: Fault, at: usize) {
    let fleet = &mut campaign.fleet;
    let (all, core) = (fleet.others(at), core(fleet));
    let rest: Vec<usize> = core.into_iter().filter(|other| *other != at).collect();
    match fault {
        Fault::BlockOutbound => fleet.partition_one_way(&[at], &all),
        Fault::BlockInbound => fleet.partition_one_way(&all, &[at]),
        Fault::PartitionFromCore => fleet.partition(&[at], &rest),
        _ => fleet.partition(&[at], &all),
    }
    campaign.lose_quorum(&[at]);
}

/// A fault befalls a machine for so many seconds, while the operators work; then all is well again.
pub fn inject(campaign: &mut Campaign, fault: Fault, at: usize, seconds: f64) {
    match fault {
        Fault::Isolate | Fault::BlockOutbound | Fault::BlockInbound | Fault::PartitionFromCore => {
            partition(campaign, fault, at);
            campaign.pass(seconds);
            campaign.heal();
        }
        Fault::IsolateAgain => {
            for _ in 0..3 {
                partition(campaign, fault, at);
                campaign.pass(seconds / 3.0);
                campaign.heal();
                campaign.pass(0.3);
            }
        }
        Fault::IsolateAndRestart => isolate_and_restart(campaign, at, seconds),
        Fault::Kill | Fault::PowerLoss => {
            campaign.fleet.kill(at, fault == Fault::PowerLoss);
            campaign.pass(seconds);
            campaign.fleet.start(at, false);
        }
        Fault::Wipe => {
            campaign.fleet.wipe(at);
            campaign.pass(seconds);
            campaign.fleet.start(at, false);
            campaign.pass(REJOIN);
        }
        Fault::Freeze => {
            campaign.freeze(at);
            campaign.pass(seconds);
            campaign.fleet.thaw(at);
        }
        Fault::PowerLossOfAll => {
            let core = core(&campaign.fleet);
            core.iter().for_each(|at| campaign.fleet.kill(*at, true));
            campaign.pass(0.5);
            core.iter().for_each(|at| campaign.fleet.start(*at, false));
        }
    }
}

fn isolate_and_restart(campaign: &mut Campaign, at: usize, seconds: f64) {
    partition(campaign, Fault::Isolate, at);
    campaign.pass(seconds / 2.0);
    restart(campaign, at);
    campaign.pass(seconds / 2.0);
    campaign.heal();
    for other in core(&campaign.fleet) {
        if other != at {
            restart(campaign, other);
            campaign.pass(2.0);
        }
    }
}

fn restart(campaign: &mut Campaign, at: usize) {
    campaign.fleet.kill(at, false);
    campaign.pass(RESTART);
    campaign.fleet.start(at, false);
}
