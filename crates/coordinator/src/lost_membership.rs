//! A store that is no member of a shard any more drops what it holds of it: state, log and file. What stays is a tombstone.
//!
//! Nobody sends it anything any more, so it can learn that from the topology alone. A replica is dropped where all of this holds:
//!
//! - The topology's replica set of the shard does not list this disk. A shard's leader reports a replica set once that is committed
//!   and durable; a change that is under way, and a store that is being added, are not in the topology yet.
//! - That replica set is as of an entry no older than the newest replica-set entry in the log here. A topology may be old: it then
//!   says nothing of a store that was added later, whose log has a newer such entry, committed or not.
//! - No leader has been heard from for some time. A store that is being added receives its leader's heartbeat ten times a second,
//!   also before it has the entry that adds it.
//! - The replica here neither leads nor campaigns.
//!
//! What others may still build on stays in a file of some 60 bytes, see [`rainlug_consensus::Replica::become_tombstone`]: without
//! its vote a member could vote twice in a term, without the end of its log it could elect the leader of a replica set that has
//! ended, and founders without a file would found the shard once more. When the store becomes a member again it begins with that.

use rainlug::{SECOND, Time};

use crate::shard::StateMachine;
use crate::{Coordinator, Effect};

/// How long no leader must have been heard from, in microseconds: longer than the elections, starts and partitions after which a
/// change of the replica set goes on.
const TOMBSTONE_DELAY: Time = 4 * SECOND;

impl Coordinator {
    /// Drops the replicas that no replica set counts on any more.
    pub(crate) fn tombstone_lost_memberships(&mut self) {
        for number in 1..=self.info.last_shard() {
            let is_lost = self.has_lost_membership(number);
            let now = self.now.steady;
            let Some(shard) = self.shards.get_mut(&number) else { continue };
            if !is_lost {
                shard.lost_membership_since = None;
                continue;
            }
            if now - *shard.lost_membership_since.get_or_insert(now) >= TOMBSTONE_DELAY {
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
        self.effects.push(Effect::Log("tombstone", format!("shard {number}: another store took the place")));
        self.process_output(number);
    }
}
