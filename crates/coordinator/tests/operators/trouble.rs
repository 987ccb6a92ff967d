//! What befalls a fleet's machines while operators work: cuts of every kind, stops and losses, never more at once than is tolerated.

use rainlug_coordinator::{CONTROL, shard_of_job};

use crate::common::Fleet;
use crate::operator::Campaign;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing passes to or from any other machine.
    CutWhole,
    /// It hears the others; they do not hear it.
    CutOutbound,
    /// They hear it; it does not hear them.
    CutInbound,
    /// From the other machines with a disk only.
    CutFromCore,
    /// Cut off, and cut off again a moment after it is back.
    CutAgain,
    /// Cut off and restarted; then the others of the core, one after the other.
    CutAndRestart,
    Kill,
    PowerLoss,
    /// It comes back with an empty disk.
    Wipe,
    Freeze,
    /// All machines of the core lose power at once.
    PowerLossOfAll,
}

pub const TROUBLES: [Trouble; 11] = [
    Trouble::CutWhole,
    Trouble::CutOutbound,
    Trouble::CutInbound,
    Trouble::CutFromCore,
    Trouble::CutAgain,
    Trouble::CutAndRestart,
    Trouble::Kill,
    Trouble::PowerLoss,
    Trouble::Wipe,
    Trouble::Freeze,
    Trouble::PowerLossOfAll,
];

/// Whom a trouble befalls.
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

fn others(fleet: &Fleet, of: usize) -> Vec<usize> {
    (0..fleet.machines.len()).filter(|at| *at != of).collect()
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

/// Cuts a machine off in the way of a trouble.
pub fn cut(campaign: &mut Campaign, trouble: Trouble, at: usize) {
    let fleet = &mut campaign.fleet;
    let (all, core) = (others(fleet, at), core(fleet));
    let rest: Vec<usize> = core.into_iter().filter(|other| *other != at).collect();
    match trouble {
        Trouble::CutOutbound => fleet.cut_one_way(&[at], &all),
        Trouble::CutInbound => fleet.cut_one_way(&all, &[at]),
        Trouble::CutFromCore => fleet.cut(&[at], &rest),
        _ => fleet.cut(&[at], &all),
    }
    campaign.lose_quorum(&[at]);
}

/// A trouble befalls a machine for so many seconds, while the operators work; then all is well again.
pub fn befall(campaign: &mut Campaign, trouble: Trouble, at: usize, seconds: f64) {
    match trouble {
        Trouble::CutWhole | Trouble::CutOutbound | Trouble::CutInbound | Trouble::CutFromCore => {
            cut(campaign, trouble, at);
            campaign.pass(seconds);
            campaign.heal();
        }
        Trouble::CutAgain => {
            for _ in 0..3 {
                cut(campaign, trouble, at);
                campaign.pass(seconds / 3.0);
                campaign.heal();
                campaign.pass(0.3);
            }
        }
        Trouble::CutAndRestart => cut_and_restart(campaign, at, seconds),
        Trouble::Kill | Trouble::PowerLoss => {
            campaign.fleet.kill(at, trouble == Trouble::PowerLoss);
            campaign.pass(seconds);
            campaign.fleet.start(at, false);
        }
        Trouble::Wipe => {
            campaign.fleet.wipe(at);
            campaign.pass(seconds);
            campaign.fleet.start(at, false);
            campaign.pass(REJOIN);
        }
        Trouble::Freeze => {
            campaign.freeze(at);
            campaign.pass(seconds);
            campaign.fleet.thaw(at);
        }
        Trouble::PowerLossOfAll => {
            let core = core(&campaign.fleet);
            core.iter().for_each(|at| campaign.fleet.kill(*at, true));
            campaign.pass(0.5);
            core.iter().for_each(|at| campaign.fleet.start(*at, false));
        }
    }
}

fn cut_and_restart(campaign: &mut Campaign, at: usize, seconds: f64) {
    cut(campaign, Trouble::CutWhole, at);
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
