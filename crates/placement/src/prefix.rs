//! What a worker is taken to have read: the parts of prompts that this dispatcher sent there, the least recently used of them
//! forgotten first. A part counts only where everything before it is kept as well (PROTOCOL, "Requests").

use crate::numbers::{Map, mix};
use std::collections::VecDeque;

/// Parts of a prompt that are looked at; whatever comes after belongs to the request itself.
const PARTS: usize = 8;
/// A prefix is long where it is more than one in so many of its prompt's tokens...
const OF_PROMPT: u64 = 8;
/// ...and more than one in so many of a mean prompt's.
const OF_MEAN: f64 = 2.0;

/// A prompt's parts, each under a hash of itself and all before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chain {
    parts: [(u64, u32); PARTS],
    count: usize,
    /// Tokens of the parts that others may share, which are all but the last.
    pub shared: u64,
    /// The hash up to the longest shared part: what places all that share it.
    pub key: u64,
}

impl Chain {
    pub fn of(prefix: &[(u64, u32)]) -> Self {
        let mut chain = Chain::default();
        let (mut hash, mut longest) = (0, 0);
        for (nth, &(id, tokens)) in prefix.iter().take(PARTS).enumerate() {
            hash = mix(hash ^ mix(id));
            chain.parts[nth] = (hash, tokens);
            chain.count += 1;
            // A prompt of one part alone is its session's.
            if nth + 1 < prefix.len() || nth == 0 {
                chain.shared += u64::from(tokens);
                if tokens > longest || nth == 0 {
                    (longest, chain.key) = (tokens, hash);
                }
            }
        }
        chain
    }

    /// Whether sending it where it is kept is worth more than even turns.
    pub fn long(&self, prompt: u32, mean: f64) -> bool {
        self.shared > u64::from(prompt) / OF_PROMPT && self.shared as f64 * OF_MEAN > mean
    }

    fn parts(&self) -> &[(u64, u32)] {
        &self.parts[..self.count]
    }
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// One worker's memory, as far as it is known here.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    kept: Map<u64, Kept>,
    /// Uses in order; one that is older than its part's last use says nothing.
    order: VecDeque<(u64, u64)>,
    tokens: u64,
    uses: u64,
}

impl Memory {
    /// Tokens of the prompt that need not be read again.
    pub fn kept(&self, chain: &Chain) -> u64 {
        let known = |&&(hash, _): &&(u64, u32)| self.kept.contains_key(&hash);
        chain.parts().iter().take_while(known).map(|p| u64::from(p.1)).sum()
    }

    /// Takes a prompt as read, within `room` tokens; the hash of the first part that was not kept before.
    pub fn read(&mut self, chain: &Chain, room: u64) -> Option<u64> {
        let fresh = chain.parts().iter().find(|p| !self.kept.contains_key(&p.0)).map(|p| p.0);
        // From the last to the first: what stands before another part outlives it.
        for &(hash, tokens) in chain.parts().iter().rev() {
            self.uses += 1;
            let used = self.uses;
            self.order.push_back((hash, used));
            match self.kept.insert(hash, Kept { tokens, used }) {
                Some(old) => self.tokens = self.tokens - u64::from(old.tokens) + u64::from(tokens),
                None => self.tokens += u64::from(tokens),
            }
        }
        while self.tokens > room {
            let Some((hash, used)) = self.order.pop_front() else { break };
            if self.kept.get(&hash).is_some_and(|k| k.used == used) {
                self.forget(hash);
            }
        }
        if self.order.len() > 4 * self.kept.len() + 64 {
            let kept = &self.kept;
            self.order.retain(|(hash, used)| kept.get(hash).is_some_and(|k| k.used == *used));
        }
        fresh
    }

    /// A part that was never read after all.
    pub fn forget(&mut self, hash: u64) {
        if let Some(old) = self.kept.remove(&hash) {
            self.tokens -= u64::from(old.tokens);
        }
    }

    pub fn clear(&mut self) {
        *self = Memory::default();
    }
}

/// A worker's rank among all for a prefix: the highest weighs most, the same at every dispatcher (rendezvous hashing).
pub fn weight(key: u64, worker: u64) -> u64 {
    mix(key ^ worker)
}
