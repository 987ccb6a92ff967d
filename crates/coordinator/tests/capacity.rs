//! What counts as room in memory, on a disk and on a link, and when a disk counts as stalled.

use bytes::Bytes;
use proptest::prelude::*;
use rainlug::{SECOND, Time};
use rainlug_batch::{Applied, Command, Item, ItemOutcome, ItemTotals, JobTable, StoredText};
use rainlug_coordinator::capacity::{
    CapacityLimits, CapacityUsage, DISK_STALL_TIMEOUT, LogUsage, RejectionCounts, RejectionReason, ShardDisk,
    ShardUsage, job_bytes, lag_bytes, max_shards_after_losses,
};

const MEGABYTE: u64 = 1_000_000;
const CAPACITY: u64 = 140 * MEGABYTE;
/// Of 140 MB, 1/32 is kept back.
const USABLE: u64 = CAPACITY - CAPACITY / 32;
/// Headers of a record in the file (20) and of an entry in the record (at most 32).
const RECORD_HEADERS: u64 = 20 + 32;

fn log(length: u64, rewritten: u64, open: u64) -> LogUsage {
    // Outputs of 5 KB in the mean.
    let totals = ItemTotals { open, finished: 1000, output_bytes: 1000 * 5000 };
    LogUsage { length, rewritten, totals }
}

/// Bounds of which only the disk's matters.
fn disk_of(disk_bytes: u64) -> CapacityLimits {
    CapacityLimits {
        memory_bytes: 1 << 40,
        disk_bytes,
        link_bytes_per_second: 1 << 40,
        sync_time: 5 * SECOND,
        copies: 2,
    }
}

fn usage(logs: &[LogUsage]) -> CapacityUsage {
    CapacityUsage {
        shards: logs.iter().map(|log| ShardUsage { log: *log, is_led: true }).collect(),
        ..CapacityUsage::default()
    }
}

#[test]
fn what_the_logs_hold_and_the_job_brings_has_to_fit() {
    // Beside the file there is room for a copy of its state.
    let held = usage(&[log(USABLE / 2 - 1000, USABLE / 2, 0)]);
    assert_eq!(disk_of(CAPACITY).admit(&held, 1000), Ok(()));
    assert_eq!(disk_of(CAPACITY).admit(&held, 1001), Err(RejectionReason::Disk));
}

#[test]
fn outputs_of_accepted_items_have_their_capacity_first() {
    let future_output_bytes = 10_000 * log(0, 0, 0).mean_output_bytes();
    let held = usage(&[log(30 * MEGABYTE, 30 * MEGABYTE, 10_000)]);
    let left = USABLE - 2 * 30 * MEGABYTE - future_output_bytes;
    assert_eq!(disk_of(CAPACITY).admit(&held, left), Ok(()));
    assert_eq!(disk_of(CAPACITY).admit(&held, left + 1), Err(RejectionReason::Disk));
}

#[test]
fn jobs_that_are_proposed_have_their_capacity_first() {
    let held = CapacityUsage { proposed: 20 * MEGABYTE, ..usage(&[log(30 * MEGABYTE, 30 * MEGABYTE, 0)]) };
    assert_eq!(disk_of(CAPACITY).admit(&held, USABLE - 80 * MEGABYTE), Ok(()));
    assert_eq!(disk_of(CAPACITY).admit(&held, USABLE - 80 * MEGABYTE + 1), Err(RejectionReason::Disk));
}

#[test]
fn the_logs_of_a_disk_share_it() {
    let third = log(USABLE / 3, USABLE / 3, 0);
    assert_eq!(disk_of(CAPACITY).admit(&usage(&[third]), MEGABYTE), Ok(()));
    assert_eq!(disk_of(CAPACITY).admit(&usage(&[third, third]), MEGABYTE), Err(RejectionReason::Disk));
}

#[test]
fn shards_that_may_come_from_lost_stores_have_capacity_too() {
    let held = |max_shards_after_losses| CapacityUsage {
        max_shards_after_losses,
        ..usage(&[log(10 * MEGABYTE, 10 * MEGABYTE, 0)])
    };
    let left = |shards: u64| (USABLE - 10 * MEGABYTE) / shards - 10 * MEGABYTE;
    for shards in 1..=4 {
        assert_eq!(disk_of(CAPACITY).admit(&held(shards), left(shards)), Ok(()));
        assert_eq!(disk_of(CAPACITY).admit(&held(shards), left(shards) + 1), Err(RejectionReason::Disk));
    }
}

#[test]
fn replicas_of_lost_stores_are_counted_where_they_go() {
    // Four parts of five members each: on nine stores, and on five of eight that are left.
    assert_eq!(max_shards_after_losses(4, 5, 9, 2), 3);
    assert_eq!(max_shards_after_losses(4, 5, 7, 2), 4);
    assert_eq!(max_shards_after_losses(4, 3, 4, 1), 4);
    assert_eq!(max_shards_after_losses(4, 5, 12, 2), 2);
    // Never more than there are, also where no store would be left.
    assert_eq!(max_shards_after_losses(4, 3, 1, 1), 4);
}

#[test]
fn the_largest_shard_has_capacity_for_a_second_copy() {
    let (small, large) = (log(10 * MEGABYTE, 10 * MEGABYTE, 0), log(40 * MEGABYTE, 30 * MEGABYTE, 0));
    let held = usage(&[small, large]);
    let left = USABLE - 50 * MEGABYTE - 30 * MEGABYTE;
    assert_eq!(disk_of(CAPACITY).admit(&held, left), Ok(()));
    assert_eq!(disk_of(CAPACITY).admit(&held, left + 1), Err(RejectionReason::Disk));
}

#[test]
fn what_a_rewrite_can_free_counts_once_it_is_made_and_it_is_due() {
    let disk = disk_of(CAPACITY);
    // 75 MB are used and 60 free: the copy of 50 has room, and 25 come back.
    let long = usage(&[log(75 * MEGABYTE, 50 * MEGABYTE, 0)]);
    assert_eq!(disk.admit(&long, 30 * MEGABYTE), Err(RejectionReason::Disk));
    assert!(disk.is_rewrite_due(&long, &long.shards[0].log));
    let rewritten = usage(&[log(50 * MEGABYTE, 50 * MEGABYTE, 0)]);
    assert_eq!(disk.admit(&rewritten, 30 * MEGABYTE), Ok(()));
    assert!(!disk.is_rewrite_due(&rewritten, &rewritten.shards[0].log));
    // A copy of 62 MB has no room beside the file of 75.
    let without_room = usage(&[log(78 * MEGABYTE, 62 * MEGABYTE, 0)]);
    assert!(!disk.is_rewrite_due(&without_room, &without_room.shards[0].log));
    // Once the shorter one is rewritten, the longer one's copy has room.
    let (first, second) = (log(55 * MEGABYTE, 42 * MEGABYTE, 0), log(45 * MEGABYTE, 20 * MEGABYTE, 0));
    let both = usage(&[first, second]);
    assert!(!disk.is_rewrite_due(&both, &first));
    assert!(disk.is_rewrite_due(&both, &second));
    assert!(disk.is_rewrite_due(&usage(&[first, log(20 * MEGABYTE, 20 * MEGABYTE, 0)]), &first));
}

#[test]
fn a_rewrite_that_the_disk_would_put_off_is_not_asked_for() {
    let bounds = CapacityLimits { memory_bytes: 300 * MEGABYTE, ..disk_of(500 * MEGABYTE) };
    // Less than half of the disk is in use: only a rewrite that halves the file is made.
    let longer = log(120 * MEGABYTE, 61 * MEGABYTE, 0);
    assert!(!bounds.is_rewrite_due(&usage(&[longer]), &longer));
    let halved = log(120 * MEGABYTE, 60 * MEGABYTE, 0);
    assert!(bounds.is_rewrite_due(&usage(&[halved]), &halved));
    // Little is in use: nobody needs the room.
    let short = log(20 * MEGABYTE, MEGABYTE, 0);
    assert!(!bounds.is_rewrite_due(&usage(&[short]), &short));
}

#[test]
fn a_rewrite_is_not_asked_for_again_soon_nor_of_a_disk_that_stalls() {
    let mut disk = ShardDisk::default();
    assert!(disk.may_ask_rewrite(20 * SECOND));
    assert!(!disk.may_ask_rewrite(25 * SECOND - 1));
    assert!(disk.may_ask_rewrite(25 * SECOND));
    disk.write_started(40 * SECOND, 1);
    assert!(!disk.may_ask_rewrite(45 * SECOND));
}

/// Bounds of which only the memory's matters, with room for the state of one part.
fn memory_for(state: u64) -> CapacityLimits {
    let tails = lag_bytes(500_000_000) as u64;
    let memory_bytes = 40 * MEGABYTE + tails + state / 4 * 5;
    CapacityLimits { memory_bytes, ..disk_of(500 * MEGABYTE) }
}

#[test]
fn the_state_and_what_is_to_come_have_to_fit_in_memory() {
    let bounds = memory_for(100 * MEGABYTE);
    assert_eq!(bounds.memory_limit(1), 100 * MEGABYTE);
    let held = usage(&[log(10 * MEGABYTE, 90 * MEGABYTE, 0)]);
    assert_eq!(bounds.admit(&held, 10 * MEGABYTE), Ok(()));
    assert_eq!(bounds.admit(&held, 10 * MEGABYTE + 1), Err(RejectionReason::Memory));
    let future_output_bytes = usage(&[log(10 * MEGABYTE, 10 * MEGABYTE, 10_000)]);
    let left = 90 * MEGABYTE - 10_000 * log(0, 0, 0).mean_output_bytes();
    assert_eq!(bounds.admit(&future_output_bytes, left), Ok(()));
    assert_eq!(bounds.admit(&future_output_bytes, left + 1), Err(RejectionReason::Memory));
}

#[test]
fn a_restart_reads_the_files_so_they_have_to_fit_in_memory() {
    let bounds = memory_for(100 * MEGABYTE);
    let held = usage(&[log(90 * MEGABYTE, MEGABYTE, 0)]);
    assert_eq!(bounds.admit(&held, 10 * MEGABYTE), Ok(()));
    assert_eq!(bounds.admit(&held, 10 * MEGABYTE + 1), Err(RejectionReason::Memory));
    assert!(bounds.is_rewrite_due(&held, &held.shards[0].log));
}

#[test]
fn each_more_shard_leaves_less_memory_to_the_state() {
    let bounds = CapacityLimits { memory_bytes: 300 * MEGABYTE, ..disk_of(CAPACITY) };
    let of = |shards| bounds.memory_limit(shards);
    assert!(of(1) > of(2) && of(2) > of(4));
    assert_eq!((of(1) - of(2)) / 1000, lag_bytes(CAPACITY as usize) as u64 * 4 / 5 / 1000);
}

#[test]
fn little_memory_leaves_a_part_of_it_and_no_sum_overflows() {
    let bounds = CapacityLimits { memory_bytes: 16 * MEGABYTE, ..disk_of(CAPACITY) };
    assert_eq!(bounds.memory_limit(4), MEGABYTE / 2);
    let huge = usage(&[log(u64::MAX, u64::MAX, u64::MAX), log(u64::MAX, u64::MAX, u64::MAX)]);
    assert_eq!(bounds.admit(&huge, u64::MAX), Err(RejectionReason::Memory));
    assert_eq!(disk_of(0).disk_limit(), 0);
    let no_time = CapacityLimits { sync_time: 0, ..disk_of(CAPACITY) };
    assert_eq!(no_time.recovery_limit(), 0);
    let little_time = CapacityLimits { sync_time: SECOND, ..slow_link(1) };
    assert_eq!(little_time.recovery_limit(), 7_500_000 * 3 / 4 / 4);
    assert!(little_time.recovery_time(&usage(&[log(0, 7_500_000 * 3 / 4 / 4, 0)])) <= SECOND);
    assert!(no_time.recovery_time(&huge) > 1000 * SECOND);
}

/// Bounds of which only the refill's matters: 60 Mbit/s for 12 s.
fn slow_link(copies: u64) -> CapacityLimits {
    CapacityLimits { link_bytes_per_second: 7_500_000, sync_time: 12 * SECOND, copies, ..disk_of(1 << 40) }
}

/// Of 60 Mbit/s, three quarters, for 10.5 s.
const REFILL: u64 = 7_500_000 * 3 / 4 * 21 / 2;

#[test]
fn an_empty_disk_takes_all_shards_in_time() {
    let bounds = slow_link(1);
    assert_eq!(bounds.recovery_limit(), REFILL);
    let held = usage(&[log(0, REFILL / 2, 0), log(0, REFILL / 2 - 1000, 0)]);
    assert_eq!(bounds.admit(&held, 1000), Ok(()));
    assert_eq!(bounds.admit(&held, 1001), Err(RejectionReason::RecoveryTime));
    assert!(bounds.recovery_time(&held) <= bounds.sync_time);
    assert!(bounds.recovery_time(&usage(&[log(0, REFILL + 10, 0)])) > bounds.sync_time);
}

#[test]
fn a_leader_fills_as_many_empty_disks_as_may_be_lost_at_once() {
    let bounds = slow_link(2);
    let led = usage(&[log(0, REFILL / 2 - 1000, 0)]);
    assert_eq!(bounds.admit(&led, 1000), Ok(()));
    assert_eq!(bounds.admit(&led, 1001), Err(RejectionReason::RecoveryTime));
    // What another store leads is sent from there, and counts once.
    let mut both = usage(&[log(0, REFILL / 4, 0), log(0, REFILL / 2, 0)]);
    both.shards[1].is_led = false;
    assert_eq!(bounds.admit(&both, REFILL / 4), Ok(()));
    assert_eq!(bounds.admit(&both, REFILL / 4 + 1000), Err(RejectionReason::RecoveryTime));
}

#[test]
fn refusals_are_counted_by_their_reason() {
    let mut refusals = RejectionCounts::default();
    refusals.count(RejectionReason::Disk);
    refusals.count(RejectionReason::RecoveryTime);
    refusals.count(RejectionReason::RecoveryTime);
    let counts: Vec<u64> = refusals.counts().map(|(_, count)| count).collect();
    assert_eq!(counts, [0, 0, 0, 1, 2, 0]);
    assert!(refusals.counts().map(|(refusal, _)| refusal).eq(RejectionReason::ALL));
}

#[test]
fn an_output_takes_no_more_capacity_than_is_counted() {
    let text = StoredText::plain(&[b'x'; 5000]);
    let (job, item) = ("f28f2dda36c74a36".to_owned(), "f28f2dda36c74a36-000123".to_owned());
    let command = Command::FinishItem { job, item, outcome: ItemOutcome::Complete, text }.encode();
    let taken = command.len() as u64 + RECORD_HEADERS;
    let reckoned = log(0, 0, 0).mean_output_bytes();
    assert!((taken..taken + 100).contains(&reckoned), "{taken} bytes, {reckoned} reckoned");
}

fn item(id: String, body: usize, headers: usize) -> Item {
    let headers = (0..headers).map(|n| (n.to_string(), String::new())).collect();
    Item { id, path: "/l".to_owned(), headers, body: Bytes::from(vec![b'x'; body]), token_count: 1 }
}

#[test]
fn few_outputs_tell_nothing_of_their_length() {
    let few = ItemTotals { open: 0, finished: 31, output_bytes: 31 * 100_000 };
    let guess = LogUsage { totals: few, ..LogUsage::default() }.mean_output_bytes();
    assert_eq!(guess, LogUsage::default().mean_output_bytes());
    let items: Vec<Item> = (0..10).map(|n| item(n.to_string(), 10, 0)).collect();
    assert!(job_bytes(100, &items, guess) > 10 * 4096);
}

#[test]
fn a_disk_is_stalled_once_something_waits_too_long() {
    let mut disk = ShardDisk::default();
    assert!(!disk.is_stalled(100 * SECOND));
    disk.write_started(0, 1);
    disk.write_started(DISK_STALL_TIMEOUT, 2);
    assert!(!disk.is_stalled(DISK_STALL_TIMEOUT));
    assert!(disk.is_stalled(DISK_STALL_TIMEOUT + 1));
    disk.write_finished(1, 500);
    assert!(!disk.is_stalled(DISK_STALL_TIMEOUT + 1));
    assert!(disk.is_stalled(2 * DISK_STALL_TIMEOUT + 1));
    disk.write_finished(2, 900);
    assert!(!disk.is_stalled(100 * SECOND));
    assert_eq!(disk.length, 900);
}

/// A part as the disk and the state machine have it.
struct Shard {
    register: JobTable,
    length: u64,
    jobs: Vec<(String, Vec<String>)>,
}

/// A store that admits batch jobs by its bounds.
struct Store {
    bounds: CapacityLimits,
    shards: Vec<Shard>,
    accepted: usize,
    refused: usize,
    now: Time,
    /// Bytes of each output.
    output: usize,
    rewrites: bool,
}

/// What happens at a store; the number of a part is taken modulo the count of parts.
#[derive(Clone, Debug)]
enum Step {
    Submit { shard: usize, items: usize, body: usize, headers: usize, id: usize },
    List { shard: usize, count: usize },
    End { shard: usize, job: usize },
    Forget { shard: usize },
    Rewrite,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let submit = (0..4_usize, 1..40_usize, 0..2000_usize, 0..8_usize, 1..200_usize)
        .prop_map(|(shard, items, body, headers, id)| Step::Submit { shard, items, body, headers, id });
    let step = prop_oneof![
        8 => submit,
        8 => (0..4_usize, 1..60_usize).prop_map(|(shard, count)| Step::List { shard, count }),
        1 => (0..4_usize, 0..20_usize).prop_map(|(shard, job)| Step::End { shard, job }),
        1 => (0..4_usize).prop_map(|shard| Step::Forget { shard }),
        4 => Just(Step::Rewrite),
    ];
    prop::collection::vec(step, 1..120)
}

impl Store {
    fn new(bounds: CapacityLimits, shards: usize, output: usize) -> Self {
        let shard = || Shard { register: JobTable::default(), length: 0, jobs: Vec::new() };
        let shards = (0..shards).map(|_| shard()).collect();
        Store { bounds, shards, accepted: 0, refused: 0, now: 0, output, rewrites: true }
    }

    fn usage(&self) -> CapacityUsage {
        let log = |shard: &Shard| LogUsage {
            length: shard.length,
            rewritten: shard.register.memory_bytes() as u64,
            totals: shard.register.totals(),
        };
        usage(&self.shards.iter().map(log).collect::<Vec<_>>())
    }

    fn apply(&mut self, shard: usize, command: &Command) -> Applied {
        let shard = &mut self.shards[shard];
        // What is kept back of the disk has room for orders of no length.
        if !matches!(command, Command::End { .. } | Command::Forget { .. }) {
            shard.length += command.encode().len() as u64 + RECORD_HEADERS;
        }
        shard.register.apply(command)
    }

    fn step(&mut self, step: &Step) {
        self.now += SECOND;
        match *step {
            Step::Submit { shard, items, body, headers, id } => {
                self.submit(shard % self.shards.len(), items, body, headers, id);
            }
            Step::List { shard, count } => (0..count).for_each(|_| self.list(shard % self.shards.len())),
            Step::End { shard, job } => {
                let shard = shard % self.shards.len();
                let jobs = &self.shards[shard].jobs;
                if let Some((job, _)) = jobs.get(job % jobs.len().max(1)).cloned() {
                    self.apply(shard, &Command::End { job, timestamp: self.now });
                }
            }
            Step::Forget { shard } => {
                let shard = shard % self.shards.len();
                self.apply(shard, &Command::Forget { before: self.now + 1 });
            }
            Step::Rewrite => self.rewrite(),
        }
    }

    fn submit(&mut self, shard: usize, items: usize, body: usize, headers: usize, id: usize) {
        let name = format!("lot-{}", self.accepted + self.refused);
        let items: Vec<Item> =
            (0..items).map(|n| item(format!("{name}-{n}{}", "i".repeat(id)), body, headers)).collect();
        // The request has all of it once, with a few bytes round each text and the bodies in base64.
        let text =
            |item: &Item| item.id.len() + item.path.len() + item.body.len() + 7 * item.headers.len() + 50;
        let request: usize = items.iter().map(text).sum();
        let mean = self.usage().shards[shard].log.mean_output_bytes();
        if self.bounds.admit(&self.usage(), job_bytes(request, &items, mean)).is_err() {
            self.refused += 1;
            return;
        }
        self.accepted += 1;
        let ids = items.iter().map(|item| item.id.clone()).collect();
        let command = Command::Submit {
            job: name.clone(),
            route: "lots".to_owned(),
            host: "a.example".to_owned(),
            submitted_at: self.now,
            deadline: self.now,
            retain_until: self.now,
            max_attempts: 3,
            max_waiting_tokens: 0,
            items,
        };
        assert_eq!(self.apply(shard, &command), Applied::Accepted);
        self.shards[shard].jobs.push((name, ids));
    }

    /// The next item's output comes.
    fn list(&mut self, shard: usize) {
        let found = self.shards[shard].jobs.iter_mut().find_map(|(job, ids)| Some((job.clone(), ids.pop()?)));
        let Some((job, item)) = found else { return };
        let text = Bytes::from(vec![b'y'; self.output]);
        let command =
            Command::FinishItem { job, item, outcome: ItemOutcome::Complete, text: StoredText::plain(&text) };
        // Of a batch job that was ended, nothing is listed any more.
        let open = self.shards[shard].register.totals().open;
        let is_ended = matches!(&command, Command::FinishItem { job, item, .. }
            if self.shards[shard].register.item_body(job, item).is_none());
        if open > 0 && !is_ended {
            assert!(matches!(self.apply(shard, &command), Applied::ItemFinished { .. }));
        }
    }

    /// Rewrites that are due are made.
    fn rewrite(&mut self) {
        if !self.rewrites {
            return;
        }
        for place in 0..self.shards.len() {
            let usage = self.usage();
            if self.bounds.is_rewrite_due(&usage, &usage.shards[place].log) {
                let shard = &mut self.shards[place];
                shard.length = shard.register.snapshot().encoded_len() + RECORD_HEADERS;
            }
        }
    }

    /// No bound is passed, by bytes as they are encoded.
    fn check(&self) {
        let files: u64 = self.shards.iter().map(|shard| shard.length).sum();
        let state: u64 = self.shards.iter().map(|shard| shard.register.memory_bytes() as u64).sum();
        let sent: u64 = self.shards.iter().map(|shard| shard.register.snapshot().encoded_len()).sum();
        // A snapshot of nothing has its counts, and a rewritten file the headers of its record.
        let counts = (64 + RECORD_HEADERS) * self.shards.len() as u64;
        assert!(sent <= state + counts, "a snapshot of {sent} bytes, {state} reckoned");
        assert!(state <= self.bounds.memory_limit(self.shards.len()), "{state} bytes of state");
        assert!(files <= self.bounds.memory_limit(self.shards.len()) + counts, "{files} bytes for a restart");
        assert!(files <= self.bounds.disk_limit() + counts, "{files} bytes on the disk");
        assert!(
            sent * self.bounds.copies <= self.bounds.recovery_limit() + 2 * counts,
            "{sent} bytes to copy"
        );
    }

    /// All is listed and forgotten, and the rewrites that are due are made.
    fn clear(&mut self) {
        for shard in 0..self.shards.len() {
            while self.shards[shard].jobs.iter().any(|(_, ids)| !ids.is_empty()) {
                self.list(shard);
            }
            self.apply(shard, &Command::Forget { before: self.now + 1 });
            self.shards[shard].jobs.clear();
        }
        self.rewrite();
    }
}

prop_compose! {
    /// Bounds of a few megabytes, of which any may be the narrowest; each above the least that memory has.
    fn bounds()(
        state in 1_700_000..4_000_000_u64,
        disk_bytes in 1_200_000..4_000_000_u64,
        refill in 1_200_000..8_000_000_u64,
        copies in 1..3_u64,
    ) -> CapacityLimits {
        let memory_bytes = 40 * MEGABYTE + 2 * lag_bytes(0) as u64 + state / 4 * 5;
        // In 5 s, of which 1.5 s pass before the copy, at three quarters of the link.
        let link_bytes_per_second = refill * 4 / 3 * 2 / 7;
        CapacityLimits { memory_bytes, disk_bytes, link_bytes_per_second, sync_time: 5 * SECOND, copies }
    }
}

fn small(bounds: CapacityLimits, shards: usize) -> CapacityLimits {
    // The memory's share for each part's tail is the same, however many there are.
    let tails = lag_bytes(0) as u64 * shards as u64;
    CapacityLimits { memory_bytes: bounds.memory_bytes - 2 * lag_bytes(0) as u64 + tails, ..bounds }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    /// Whatever is submitted, listed, ended, forgotten and rewritten, in any order: what was accepted fits.
    #[test]
    fn what_is_accepted_never_passes_a_bound(
        bounds in bounds(),
        shards in 1..4_usize,
        output in 0..4096_usize,
        steps in steps(),
    ) {
        let mut store = Store::new(small(bounds, shards), shards, output);
        for step in &steps {
            store.step(step);
            store.check();
        }
        // All outputs come, and nothing is rewritten: no rewrite was ever needed.
        store.rewrites = false;
        (0..shards).for_each(|shard| (0..5000).for_each(|_| store.list(shard)));
        store.check();
    }

    /// A store that refuses takes jobs again once what it has is forgotten.
    #[test]
    fn once_all_is_forgotten_there_is_capacity_again(
        bounds in bounds(),
        shards in 1..4_usize,
        output in 0..4096_usize,
    ) {
        let mut store = Store::new(small(bounds, shards), shards, output);
        for nth in 0..1000 {
            store.step(&Step::Submit { shard: nth, items: 20, body: 500, headers: 3, id: 8 });
            store.step(&Step::List { shard: nth, count: 10 });
            if store.refused > 0 {
                break;
            }
        }
        prop_assert!(store.refused > 0);
        let accepted = store.accepted;
        store.clear();
        store.check();
        store.step(&Step::Submit { shard: 0, items: 5, body: 500, headers: 3, id: 8 });
        prop_assert_eq!(store.accepted, accepted + 1);
    }
}

/// A store that takes all it can get until a bound is passed, which the checks must find.
fn overfill(bounds: CapacityLimits, narrow: impl Fn(CapacityLimits) -> CapacityLimits) {
    let mut store = Store::new(bounds, 1, 1000);
    for _ in 0..200 {
        store.step(&Step::Submit { shard: 0, items: 20, body: 500, headers: 3, id: 8 });
        store.step(&Step::List { shard: 0, count: 20 });
    }
    store.bounds = narrow(store.bounds);
    store.check();
}

#[test]
#[should_panic(expected = "bytes of state")]
fn the_checks_find_too_much_memory() {
    overfill(disk_of(CAPACITY), |bounds| CapacityLimits { memory_bytes: 10 * MEGABYTE, ..bounds });
}

#[test]
#[should_panic(expected = "bytes on the disk")]
fn the_checks_find_too_long_files() {
    overfill(disk_of(CAPACITY), |bounds| CapacityLimits { disk_bytes: 2 * MEGABYTE, ..bounds });
}

#[test]
#[should_panic(expected = "bytes to copy")]
fn the_checks_find_too_long_copies() {
    overfill(disk_of(CAPACITY), |bounds| CapacityLimits { link_bytes_per_second: MEGABYTE, ..bounds });
}
