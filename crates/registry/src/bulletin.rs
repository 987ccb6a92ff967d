//! What every process of the tier knows: workers, and newest versions of a few texts (the configuration, the groups of the
//! parts). Entries are merged by their versions, passed on to a few others when they are news, and gaps are found by comparing
//! digests. No order and no agreement is needed for that: what needs agreement is agreed on before it is entered here.

use std::net::SocketAddr;

use bytes::Bytes;
use rainlug::Time;

use crate::Worker;

/// The text of the configuration in force; of the groups of parts.
pub const CONFIGURATION: u8 = 0;
pub const GROUPS: u8 = 1;

/// Where a bulletin's effects go.
pub trait Outgoing {
    /// Bytes for another process: delivered whole and in order, or not at all.
    fn send(&mut self, to: SocketAddr, bytes: Bytes);
    /// A worker is new here or has changed.
    fn worker(&mut self, worker: &Worker);
    /// A text has a newer version here.
    fn text(&mut self, kind: u8, version: u64, text: &Bytes);
}

/// One process's copy.
pub struct Bulletin {}

impl Bulletin {
    /// `slow` is how long a gap may stay before digests are compared with one other.
    pub fn new(_slow: Time, _seed: u64, _now: Time) -> Self {
        todo!()
    }
    /// The other processes that live now, by membership (addresses of their peer ports).
    pub fn peers(&mut self, _now: Time, _peers: &[SocketAddr]) {
        todo!()
    }
    /// What a worker said here. True where it was news. It is passed on at once.
    pub fn worker(&mut self, _now: Time, _worker: Worker, _out: &mut dyn Outgoing) -> bool {
        todo!()
    }
    /// A text that is agreed on, at a version.
    pub fn text(
        &mut self,
        _now: Time,
        _kind: u8,
        _version: u64,
        _text: Bytes,
        _out: &mut dyn Outgoing,
    ) -> bool {
        todo!()
    }
    pub fn get(&self, _kind: u8) -> Option<(u64, &Bytes)> {
        todo!()
    }
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        [].iter()
    }
    /// Whether all peers that live have said that they have this news (or something newer); how many have, of how many.
    pub fn spread(&self, _kind: u8, _version: u64) -> (usize, usize) {
        todo!()
    }
    pub fn worker_spread(&self, _id: &str) -> (usize, usize) {
        todo!()
    }
    /// Bytes from another process's bulletin. Garbage is counted and dropped.
    pub fn heard(&mut self, _now: Time, _from: SocketAddr, _bytes: &[u8], _out: &mut dyn Outgoing) {
        todo!()
    }
    /// Compares everything with several others at once: after a cut, a freeze or a start.
    pub fn catch_up(&mut self, _now: Time, _out: &mut dyn Outgoing) {
        todo!()
    }
    pub fn next(&self) -> Time {
        todo!()
    }
    pub fn due(&mut self, _now: Time, _out: &mut dyn Outgoing) {
        todo!()
    }
}
