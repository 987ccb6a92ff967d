//! Watches of groups of keys that wait at a shard's leader for the next put.

use std::collections::BTreeMap;

use rainlug::Time;

use crate::Origin;

/// A watch.
pub(crate) struct Watch {
    pub origin: Origin,
    pub group: String,
    /// The last revision that the caller knows.
    pub since: u64,
    /// When it is answered without a put (steady clock).
    pub until: Time,
}

/// The watches that wait at one shard, by group.
#[derive(Default)]
pub(crate) struct WatchList {
    by_group: BTreeMap<String, Vec<Watch>>,
    count: usize,
    /// No watch that waits is to be answered without a put before this time.
    earliest: Option<Time>,
}

impl WatchList {
    /// A watch waits.
    pub fn add(&mut self, watch: Watch) {
        self.earliest = Some(self.next_timeout().min(watch.until));
        self.by_group.entry(watch.group.clone()).or_default().push(watch);
        self.count += 1;
    }

    /// All watches of a group wait no longer.
    pub fn take_group(&mut self, group: &str) -> Vec<Watch> {
        let taken = self.by_group.remove(group).unwrap_or_default();
        self.count -= taken.len();
        taken
    }

    /// The watches whose time is over wait no longer.
    pub fn take_due(&mut self, now: Time) -> Vec<Watch> {
        let mut due = Vec::new();
        for watches in self.by_group.values_mut() {
            due.extend(watches.extract_if(.., |watch| watch.until <= now));
        }
        self.by_group.retain(|_, watches| !watches.is_empty());
        self.count -= due.len();
        self.earliest = self.by_group.values().flatten().map(|watch| watch.until).min();
        due
    }

    /// None waits any longer.
    pub fn take_all(&mut self) -> Vec<Watch> {
        std::mem::take(self).by_group.into_values().flatten().collect()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// When to look for those that are to be answered without a put. The watch that it was for may have had a put since.
    pub fn next_timeout(&self) -> Time {
        self.earliest.unwrap_or(Time::MAX)
    }
}
