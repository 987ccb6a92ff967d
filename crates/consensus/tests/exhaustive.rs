//! Orders of events among three members, breadth first up to so many states, from a leader on, with a loss of power in which
//! one disk goes too: what any replica hands out as committed is the same everywhere.
//!
//! A replica is determined by its inputs, so a state is identified by the inputs of each in turn: orders that differ only
//! between members are one.

mod common;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use rainlug_consensus::{Index, Member, MemberId, Replica, Settings, Time};

const SETTINGS: Settings = Settings {
    heartbeat_interval: 50,
    election_timeout: 200,
    min_replicas: 2,
    max_message_bytes: 1000,
    compaction_threshold_bytes: 100_000,
    max_lag_bytes: 25_000,
};

fn member(id: MemberId) -> Member {
    Member { id, name: id.to_string(), zone: "a".to_owned(), address: ([127, 0, 0, 1], 1).into() }
}

#[derive(Clone)]
struct Node {
    replica: Replica,
    /// Each has its own clock.
    now: Time,
    disk: Vec<Bytes>,
    /// Not synced.
    writes: Vec<(u64, Bytes)>,
    applied: Vec<(Index, Bytes)>,
    /// A hash of all its inputs.
    history_hash: u64,
}

#[derive(Clone)]
struct State {
    nodes: Vec<Node>,
    /// In flight, each with the position of its receiver in `nodes`.
    messages: Vec<(usize, Bytes)>,
    committed: Vec<(Index, Bytes)>,
    proposals: u8,
    timeouts: u8,
    losses: u8,
    transfers: u8,
    flaw: Flaw,
}

/// What is wrong with transfers of leadership, for the search to bear or to find.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    /// The leader does not wait until the target has all.
    TransferTooEarly,
    /// That, and the target claims a log that it does not have.
    ClaimedLog,
}

#[derive(Clone, Copy, Debug, Hash)]
enum Action {
    Deliver(usize),
    Sync(usize),
    Timeout(usize),
    Propose(usize),
    /// The leader hands over to this one.
    Transfer(usize),
    /// The leader is broken and asks this one to campaign, whatever it lacks.
    TransferTooEarly(usize),
    /// All lose power, and this one its disk.
    Loss(usize),
}

/// Whether the one that lost its disk comes back under its old id.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DiskLoss {
    NewId,
    ReusedId,
}

impl State {
    fn new() -> Self {
        let founding: Vec<Member> = (1..=3).map(member).collect();
        let node = |id| Node {
            replica: Replica::new(member(id), founding.clone(), SETTINGS, 1, 0),
            now: 0,
            disk: vec![],
            writes: vec![],
            applied: vec![],
            history_hash: id,
        };
        Self {
            nodes: (1..=3).map(node).collect(),
            messages: vec![],
            committed: vec![],
            proposals: 1,
            timeouts: 1,
            losses: 1,
            transfers: 0,
            flaw: Flaw::None,
        }
    }
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in &self.nodes {
            node.history_hash.hash(&mut hasher);
        }
        let mut messages = self.messages.clone();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        (self.proposals, self.timeouts, self.losses, self.transfers).hash(&mut hasher);
        hasher.finish()
    }
    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> = (0..self.messages.len()).map(Action::Deliver).collect();
        for (position, node) in self.nodes.iter().enumerate() {
            if !node.writes.is_empty() {
                actions.push(Action::Sync(position));
            }
            if self.proposals > 0
                && node.replica.leader().is_some_and(|leader| leader == node.replica.local_member())
            {
                actions.push(Action::Propose(position));
            }
            if self.timeouts > 0 {
                actions.push(Action::Timeout(position));
            }
            if self.losses > 0 {
                actions.push(Action::Loss(position));
            }
            if self.transfers > 0 {
                actions.push(match self.flaw {
                    Flaw::None => Action::Transfer(position),
                    Flaw::TransferTooEarly | Flaw::ClaimedLog => Action::TransferTooEarly(position),
                });
            }
        }
        actions
    }
    /// Does one thing; the violation that shows, if one does.
    fn apply_action(&mut self, action: Action, disk_loss: DiskLoss) -> Result<(), String> {
        match action {
            Action::Deliver(message) => {
                let (position, bytes) = self.messages.remove(message);
                let node = &mut self.nodes[position];
                node.history_hash = chain(node.history_hash, &bytes);
                node.replica.receive(node.now, &bytes).map_err(|error| error.to_string())?;
                self.drive(position)
            }
            Action::Sync(position) => {
                let node = &mut self.nodes[position];
                node.history_hash = chain(node.history_hash, "sync");
                let newest = node.writes.last().map_or(0, |(ticket, _)| *ticket);
                node.disk.extend(node.writes.drain(..).map(|(_, record)| record));
                node.replica.persisted(node.now, newest);
                self.drive(position)
            }
            Action::Propose(position) => {
                self.proposals -= 1;
                let node = &mut self.nodes[position];
                node.history_hash = chain(node.history_hash, "propose");
                let command = Bytes::from(vec![self.proposals, node.history_hash as u8]);
                let _ = node.replica.propose(node.now, command);
                self.drive(position)
            }
            Action::Timeout(position) => self.time_out(position),
            Action::Transfer(target) => self.transfer(target),
            Action::TransferTooEarly(target) => self.transfer_too_early(target),
            Action::Loss(position) => self.lose_power(position, disk_loss),
        }
    }

    /// The serving leader, where there is one.
    fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.replica.is_serving_leader())
    }

    fn transfer(&mut self, target: usize) -> Result<(), String> {
        self.transfers -= 1;
        let Some(leader) = self.leader() else { return Ok(()) };
        let target = self.nodes[target].replica.local_member().id;
        let node = &mut self.nodes[leader];
        node.history_hash = chain(node.history_hash, ("transfer", target));
        let _ = node.replica.transfer_leadership(node.now, target);
        self.drive(leader)
    }

    fn transfer_too_early(&mut self, target: usize) -> Result<(), String> {
        self.transfers -= 1;
        let Some(leader) = self.leader() else { return Ok(()) };
        if let Some(message) = timeout_now_message(&self.nodes[leader].replica, target as u64 + 1) {
            self.messages.push((target, message));
        }
        Ok(())
    }

    /// Time passes for one of them until it sends something, for three election timeouts at most.
    fn time_out(&mut self, position: usize) -> Result<(), String> {
        self.timeouts = self.timeouts.saturating_sub(1);
        let node = &mut self.nodes[position];
        node.history_hash = chain(node.history_hash, "timeout");
        let end = node.now + 3 * SETTINGS.election_timeout;
        let before = self.messages.len();
        while self.nodes[position].now < end && self.messages.len() == before {
            let node = &mut self.nodes[position];
            node.now = node.replica.next_timeout();
            node.replica.handle_timeout(node.now);
            self.drive(position)?;
        }
        Ok(())
    }

    /// All lose power, and one of them its disk.
    fn lose_power(&mut self, lost: usize, disk_loss: DiskLoss) -> Result<(), String> {
        self.losses -= 1;
        // Time passes, so all may vote, and one of those left may campaign.
        self.timeouts += 1;
        let newest = self.nodes.iter().map(|node| node.now).max().unwrap_or(0);
        let now = newest + 10 * SETTINGS.election_timeout;
        // What was sent before is received nowhere any more.
        self.messages.clear();
        for (position, node) in self.nodes.iter_mut().enumerate() {
            node.history_hash = chain(node.history_hash, "loss");
            node.now = now;
            node.writes.clear();
            node.applied.clear();
            let mut local_member = node.replica.local_member().clone();
            let mut founding: Vec<Member> = (1..=3).map(member).collect();
            if position == lost {
                node.history_hash = chain(node.history_hash, "lost");
                node.disk.clear();
                if disk_loss == DiskLoss::NewId {
                    local_member = member(4);
                    founding.clear();
                }
            }
            node.replica = Replica::recover(local_member, founding, SETTINGS, &node.disk, 1, now)
                .map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn drive(&mut self, position: usize) -> Result<(), String> {
        let node = &mut self.nodes[position];
        let output = node.replica.take_ready();
        node.writes.extend(output.records);
        for command in output.committed {
            let at = node.applied.len();
            node.applied.push(command.clone());
            match self.committed.get(at) {
                None => self.committed.push(command),
                Some(known) if *known == command => {}
                Some(known) => return Err(format!("{command:?} where {known:?} was committed")),
            }
        }
        for (to, mut bytes) in output.messages {
            if self.flaw == Flaw::ClaimedLog && is_transfer_vote_request(&bytes) {
                bytes = claim_long_log(&bytes);
            }
            if let Some(position) = self.nodes.iter().position(|node| node.replica.local_member().id == to.id)
            {
                self.messages.push((position, bytes));
            }
        }
        Ok(())
    }
}

/// Bytes of a vote request's body: its id, its kind, the term, and the end of the candidate's log.
const VOTE_REQUEST_BYTES: usize = 1 + 1 + 8 + LOG_END_BYTES;
/// Bytes of the index and the term at which a candidate's log ends; they come last.
const LOG_END_BYTES: usize = 8 + 8;
/// The id of a vote request, and its kind where the candidate was asked to campaign.
const TRANSFER_VOTE_REQUEST: [u8; 2] = [1, 2];

/// What a leader sends to ask another member to campaign.
fn timeout_now_message(leader: &Replica, target: MemberId) -> Option<Bytes> {
    let mut heartbeat = leader.clone();
    heartbeat.handle_timeout(heartbeat.next_timeout());
    let sent = heartbeat.take_ready().messages;
    let to_target = sent.into_iter().find(|(to, _)| to.id == target);
    to_target.map(|(_, bytes)| common::timeout_now(&bytes))
}

fn is_transfer_vote_request(bytes: &Bytes) -> bool {
    common::body_code(bytes) == TRANSFER_VOTE_REQUEST[0]
        && bytes[bytes.len() - VOTE_REQUEST_BYTES..].starts_with(&TRANSFER_VOTE_REQUEST)
}

/// The vote request with a later end of the candidate's log.
fn claim_long_log(bytes: &Bytes) -> Bytes {
    let mut claimed = bytes[..bytes.len() - LOG_END_BYTES].to_vec();
    claimed.extend(100u64.to_le_bytes());
    claimed.extend(100u64.to_le_bytes());
    Bytes::from(claimed)
}

fn chain(history_hash: u64, with: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (history_hash, with).hash(&mut hasher);
    hasher.finish()
}

/// A leader that has committed its first entry, known to all.
fn elected_state() -> State {
    let mut state = State::new();
    state.apply_action(Action::Timeout(0), DiskLoss::NewId).expect("sound");
    for _ in 0..200 {
        let next = state
            .actions()
            .into_iter()
            .find(|apply_action| matches!(apply_action, Action::Deliver(_) | Action::Sync(_)));
        let Some(next) = next else { break };
        state.apply_action(next, DiskLoss::NewId).expect("sound");
    }
    assert!(state.nodes[0].replica.is_serving_leader(), "the first leads");
    state.timeouts = 0;
    state
}

/// Breadth first, so many states at most: how many there were, and what went wrong first.
fn search(start: State, most: usize, disk_loss: DiskLoss) -> (usize, Option<String>) {
    let mut seen = HashSet::from([start.key()]);
    let mut layer = vec![start];
    while !layer.is_empty() {
        let mut next = vec![];
        for state in layer {
            for action in state.actions() {
                let mut after = state.clone();
                if let Err(what) = after.apply_action(action, disk_loss) {
                    return (seen.len(), Some(format!("{action:?}: {what}")));
                }
                if seen.insert(after.key()) {
                    next.push(after);
                }
                if seen.len() >= most {
                    return (seen.len(), None);
                }
            }
        }
        layer = next;
    }
    (seen.len(), None)
}

/// The first has committed one command with the second; the third has received nothing of it.
fn acknowledged() -> State {
    let mut state = elected_state();
    state.apply_action(Action::Propose(0), DiskLoss::NewId).expect("sound");
    for _ in 0..200 {
        let next = state.actions().into_iter().find(|apply_action| match apply_action {
            Action::Deliver(message) => state.messages[*message].0 != 2,
            Action::Sync(_) => true,
            _ => false,
        });
        let Some(next) = next else { break };
        state.apply_action(next, DiskLoss::NewId).expect("sound");
    }
    assert_eq!(state.committed.len(), 1);
    state.messages.clear();
    state.proposals = 1;
    state
}

#[test]
fn given_a_leader_when_events_come_in_any_order_then_all_agree() {
    let (states, violations) = search(elected_state(), 20_000, DiskLoss::NewId);
    println!("{states} states");
    assert_eq!(violations, None);
}

#[test]
fn given_a_committed_command_when_events_come_in_any_order_then_all_agree() {
    let (states, violations) = search(acknowledged(), 20_000, DiskLoss::NewId);
    println!("{states} states");
    assert_eq!(violations, None);
}

/// That, and then all have lost power, and this one its disk.
fn after_loss(lost: usize, disk_loss: DiskLoss) -> State {
    let mut state = acknowledged();
    state.apply_action(Action::Loss(lost), disk_loss).expect("sound");
    state
}

/// No fewer states than those in which the search finds a lost disk under its old id.
fn hold_after_loss(lost: usize) {
    let (states, violations) = search(after_loss(lost, DiskLoss::NewId), 60_000, DiskLoss::NewId);
    println!("{states} states");
    assert_eq!(violations, None);
}

#[test]
fn given_a_loss_of_the_leaders_disk_when_events_come_in_any_order_then_all_agree() {
    hold_after_loss(0);
}

#[test]
fn given_a_loss_of_the_other_disk_with_the_command_when_events_come_in_any_order_then_all_agree() {
    hold_after_loss(1);
}

#[test]
fn given_a_loss_of_the_disk_without_the_command_when_events_come_in_any_order_then_all_agree() {
    hold_after_loss(2);
}

#[test]
fn given_a_lost_disk_under_its_old_id_when_events_come_in_any_order_then_the_search_finds_it() {
    let (states, violations) = search(after_loss(1, DiskLoss::ReusedId), 100_000, DiskLoss::ReusedId);
    println!("{states} states: {violations:?}");
    assert!(violations.is_some());
}

/// That, and the leader may hand over, in the way of a flaw or of none; nothing else goes wrong, so that a search gets far.
fn with_transfer(flaw: Flaw) -> State {
    State { transfers: 1, losses: 0, timeouts: 0, flaw, ..acknowledged() }
}

/// No fewer states than those in which the search finds a target that claims entries which it lacks.
const TRANSFER_STATES: usize = 60_000;

#[test]
fn given_a_leader_that_hands_over_when_events_come_in_any_order_then_all_agree() {
    let (states, violations) = search(with_transfer(Flaw::None), TRANSFER_STATES, DiskLoss::NewId);
    println!("{states} states");
    assert_eq!(violations, None);
}

#[test]
fn given_a_leader_that_hands_over_when_all_lose_power_and_one_its_disk_then_all_agree() {
    let start = State { losses: 1, ..with_transfer(Flaw::None) };
    let (states, violations) = search(start, TRANSFER_STATES, DiskLoss::NewId);
    println!("{states} states");
    assert_eq!(violations, None);
}

#[test]
fn given_a_leader_that_hands_over_to_one_that_lacks_entries_when_events_come_in_any_order_then_all_agree() {
    let start = with_transfer(Flaw::TransferTooEarly);
    let (states, violations) = search(start, TRANSFER_STATES, DiskLoss::NewId);
    println!("{states} states");
    assert_eq!(violations, None);
}

#[test]
fn given_a_target_that_claims_entries_it_lacks_when_events_come_in_any_order_then_the_search_finds_it() {
    let (states, violations) = search(with_transfer(Flaw::ClaimedLog), TRANSFER_STATES, DiskLoss::NewId);
    println!("{states} states: {violations:?}");
    assert!(violations.is_some_and(|what| what.contains("was committed")));
}
