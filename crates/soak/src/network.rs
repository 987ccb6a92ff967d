//! Cuts between processes: which of them are in force, and what each process's fault file says.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Nothing passes from one set of peers to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    pub number: u64,
    pub from: BTreeSet<SocketAddr>,
    pub to: BTreeSet<SocketAddr>,
    /// What goes the other way passes.
    pub is_one_way: bool,
}

impl Cut {
    fn blocks(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let is_there = self.from.contains(&from) && self.to.contains(&to);
        let is_back = self.from.contains(&to) && self.to.contains(&from);
        is_there || (is_back && !self.is_one_way)
    }
}

/// All cuts in force, and how often connections were reset.
#[derive(Debug, Default)]
pub struct Network {
    cuts: Vec<Cut>,
    numbers: u64,
    resets: u64,
}

impl Network {
    /// Puts a cut in force, and gives its number.
    pub fn cut(&mut self, from: BTreeSet<SocketAddr>, to: BTreeSet<SocketAddr>, is_one_way: bool) -> u64 {
        self.numbers += 1;
        self.cuts.push(Cut { number: self.numbers, from, to, is_one_way });
        self.numbers
    }

    /// Ends a cut.
    pub fn heal(&mut self, number: u64) {
        self.cuts.retain(|cut| cut.number != number);
    }

    /// Ends all cuts.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
    }

    /// Has all connections closed once.
    pub fn reset(&mut self) {
        self.resets += 1;
    }

    /// Peers that a cut keeps from others: the smaller side of each.
    pub fn impaired(&self) -> BTreeSet<SocketAddr> {
        let smaller =
            |cut: &Cut| if cut.from.len() <= cut.to.len() { cut.from.clone() } else { cut.to.clone() };
        self.cuts.iter().flat_map(smaller).collect()
    }

    /// The text of a process's fault file, among all `peers`.
    pub fn faults_of(&self, me: SocketAddr, peers: &[SocketAddr]) -> String {
        let mut text = format!("reset {}\n", self.resets);
        for peer in peers.iter().copied().filter(|peer| *peer != me) {
            if self.cuts.iter().any(|cut| cut.blocks(me, peer)) {
                text.push_str(&format!("to {peer}\n"));
            }
            if self.cuts.iter().any(|cut| cut.blocks(peer, me)) {
                text.push_str(&format!("from {peer}\n"));
            }
        }
        text
    }
}
