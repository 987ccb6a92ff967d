//! A store that has lost its seat in a part gives up what it holds of it: state, log and file.
//!
//! Nobody sends it anything any more, so it can only be told by the roster. A replica is given up where all of this holds:
//!
//! - The roster's group of the part does not list this disk. A part's leader tells of a group once that is committed and handed
//!   over. The group of a change that is under way, and a store that is being added, are not told of yet.
//! - That group is as of an entry no older than the newest group entry in the log here. A roster may be old: it then says nothing
//!   of a store that was added later, whose log has a newer group entry, committed or not.
//! - No leader has been heard for some time. A store that is being added hears its leader ten times a second, also before it has
//!   the entry that adds it.
//! - It neither leads nor stands for election here.
//!
//! What others may still build on stays in a file of some 60 bytes, see
//! [`rainlug_consensus::Replica::become_tombstone`]: without its vote a
//! member could vote twice in a term, without the end of its log it could elect the leader of a group that has ended, and founders
//! without a file would found the group once more. When the store is given a seat again it begins with that.

use rainlug::{SECOND, Time};

use crate::shard::StateMachine;
use crate::{BATCH_SHARDS, Coordinator, Effect};

/// How long no leader must have been heard: longer than the elections, starts and cuts after which a change goes on.
const QUIET: Time = 4 * SECOND;

impl Coordinator {
    /// Gives up the replicas that no group counts on any more.
    pub(crate) fn tombstone_lost_memberships(&mut self) {
        for number in 1..=BATCH_SHARDS {
            let may_go = self.has_lost_membership(number);
            let now = self.now.steady;
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            if !may_go {
                shard.lost_membership_since = None;
                continue;
            }
            if now - *shard.lost_membership_since.get_or_insert(now) >= QUIET {
                self.tombstone_replica(number);
            }
        }
    }

    fn has_lost_membership(&self, number: u16) -> bool {
        let (Some(shard), Some(disk)) = (self.shards.get(&number), self.info.disk) else { return false };
        let replica = &shard.replica;
        !replica.is_tombstone()
            && !replica.has_unapplied_entries()
            && replica.leader().is_none()
            && self.topology.excludes_disk(number, disk, replica.replica_set_index())
    }

    fn tombstone_replica(&mut self, number: u16) {
        let now = self.now.steady;
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if !shard.replica.become_tombstone(now) {
            return;
        }
        shard.lost_membership_since = None;
        shard.restoring = None;
        shard.is_snapshot_wanted = false;
        (shard.state_machine, shard.quota_ledger) = (StateMachine::empty(number), Default::default());
        self.effects.push(Effect::Log("vacated", format!("part {number}: another store has the seat")));
        self.process_output(number);
    }
}
