//! Snapshots: what their chunks are, that they never change, and what a table made from chunks is.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use common::{DUE, abandon, after, chunks, end, finish, item, read, restore, submit, submit_within};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainlug_batch::{
    Applied, CHUNK_BYTES, Command, Item, ItemOutcome, JobTable, JobTableRestore, StoredText,
};

/// An output of so many bytes, stored plain.
fn finish_plain(job: &str, item: &str, length: usize) -> Command {
    let text = StoredText::plain(&vec![b'x'; length]);
    Command::FinishItem { job: job.into(), item: item.into(), outcome: ItemOutcome::Complete, text }
}

fn item_with_body(id: &str, length: usize) -> Item {
    Item { body: vec![b'b'; length].into(), ..item(id, 1) }
}

/// Three batch jobs with bodies and outputs for several chunks.
fn several_chunks() -> JobTable {
    let mut table = JobTable::default();
    for job in ["k", "l", "m"] {
        let items = (0..20).map(|id| item_with_body(&format!("{job}{id}"), 10_000)).collect();
        table.apply(&submit_within(job, 0, DUE, items));
        for id in 0..10 {
            table.apply(&finish_plain(job, &format!("{job}{id}"), 20_000));
        }
    }
    table.apply(&end("m"));
    table
}

/// Bytes that tell when nothing holds them any more.
struct Counted {
    bytes: Bytes,
    freed: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.freed.fetch_add(1, Ordering::SeqCst);
    }
}

/// The same bytes, and how often their buffer was freed.
fn count_frees(bytes: Bytes) -> (Bytes, Arc<AtomicUsize>) {
    let freed = Arc::new(AtomicUsize::new(0));
    (Bytes::from_owner(Counted { bytes, freed: freed.clone() }), freed)
}

#[test]
fn given_an_empty_table_then_its_snapshot_is_a_header() {
    let table = JobTable::default();
    assert_eq!(table.snapshot().chunk_count(), 1);
    assert_eq!(table.snapshot().chunk(1), Bytes::new());
    assert_eq!(chunks(&restore(&chunks(&table)).unwrap()), chunks(&table));
}

#[test]
fn given_small_jobs_then_they_share_a_chunk() {
    let jobs: Vec<Command> = (0..50).map(|job| submit(&format!("{job}"), &["a", "b"])).collect();
    assert_eq!(after(&jobs).snapshot().chunk_count(), 2);
}

#[test]
fn given_long_items_and_outputs_then_only_a_chunk_of_a_single_one_is_over_the_bound() {
    let mut table = several_chunks();
    let items = vec![item_with_body("a", 100_000), item("b", 1), item_with_body("c", 70_000), item("d", 1)];
    table.apply(&submit_within("long", 0, DUE, items));
    let bodies = chunks(&table).iter().filter(|chunk| chunk.len() > CHUNK_BYTES).count();
    assert_eq!(bodies, 2);
    table.apply(&finish_plain("long", "a", 100));
    table.apply(&finish_plain("long", "c", 300_000));
    table.apply(&finish_plain("long", "d", 100));
    let lengths: Vec<usize> = chunks(&table).iter().map(Bytes::len).collect();
    let over: Vec<usize> = lengths.iter().copied().filter(|length| *length > CHUNK_BYTES).collect();
    assert_eq!(over.len(), 1, "{lengths:?}");
    // The output, and the heads round it.
    assert!((300_000..300_100).contains(&over[0]), "{over:?}");
    assert_eq!(chunks(&restore(&chunks(&table)).unwrap()), chunks(&table));
}

#[test]
fn given_records_that_just_fit_then_a_chunk_is_as_long_as_the_bound() {
    // Heads of the chunk and its record (18), then of two outputs (10 each) and their texts.
    let half = (CHUNK_BYTES - 18) / 2 - 10;
    let outputs_with = |second: usize| {
        let texts = [finish_plain("l", "a", half), finish_plain("l", "b", second)];
        let table = after(&[&[submit("l", &["a", "b"])], &texts[..]].concat());
        chunks(&table).iter().map(Bytes::len).collect::<Vec<_>>()
    };
    assert_eq!(outputs_with(half)[2..], [CHUNK_BYTES]);
    // The first output has room behind the batch job's head then.
    assert!(outputs_with(half + 1)[1..].iter().all(|length| *length < CHUNK_BYTES));
    // Records of two batch jobs, to the byte.
    let records_with = |second: usize| {
        let commands = [submit("l", &["a"]), submit("m", &["a"]), finish_plain("l", "a", half)];
        let table = after(&[&commands[..], &[finish_plain("m", "a", second)]].concat());
        chunks(&table).iter().map(Bytes::len).collect::<Vec<_>>()
    };
    let room = CHUNK_BYTES - records_with(0)[1];
    assert_eq!(records_with(room)[1..], [CHUNK_BYTES]);
    assert_eq!(records_with(room + 1).len(), 3);
}

#[test]
fn given_many_records_then_chunks_are_nearly_full() {
    let table = several_chunks();
    let lengths: Vec<usize> = chunks(&table).iter().map(Bytes::len).collect();
    let total: usize = lengths.iter().sum();
    assert_eq!(table.snapshot().encoded_len(), total as u64);
    assert!(total > 600_000 && lengths.len() <= 2 + 2 * total / CHUNK_BYTES, "{lengths:?}");
}

#[test]
fn given_a_snapshot_when_the_table_changes_then_the_snapshot_does_not() {
    let mut table = several_chunks();
    let (snapshot, old) = (table.snapshot(), chunks(&table));
    table.apply(&finish_plain("k", "k15", 500));
    table.apply(&end("l"));
    table.apply(&submit("n", &["a"]));
    table.apply(&Command::Forget { before: DUE });
    let encoded: Vec<Bytes> =
        (0..snapshot.chunk_count()).map(|number| snapshot.clone().chunk(number)).collect();
    assert_eq!(encoded, old);
    assert_ne!(chunks(&table), old);
}

#[test]
fn given_a_snapshot_when_an_item_finishes_then_only_its_job_is_copied() {
    let mut table = several_chunks();
    let before = table.snapshot();
    let text = |table: &JobTable, position| table.output_text("k", position).unwrap().stored().as_ptr();
    let texts: Vec<_> = (0..10).map(|position| text(&table, position)).collect();
    let body = table.item_body("k", "k16").unwrap().as_ptr();
    assert_eq!(table.snapshot().shared_job_count(&before), 3);
    assert_eq!(table.apply(&finish_plain("k", "k15", 500)), Applied::ItemFinished { position: 10 });
    assert_eq!(table.snapshot().shared_job_count(&before), 2);
    // Nor are the bytes of its own batch job copied.
    assert!((0..10).map(|position| text(&table, position)).eq(texts));
    assert_eq!(table.item_body("k", "k16").unwrap().as_ptr(), body);
}

#[test]
fn given_a_snapshot_when_commands_change_nothing_then_no_job_is_copied() {
    let mut table = several_chunks();
    let before = table.snapshot();
    for command in [finish("k", "k0", "again"), finish("k", "x", ""), end("m"), submit("k", &["a"]), end("x")]
    {
        table.apply(&command);
    }
    assert_eq!(table.snapshot().shared_job_count(&before), 3);
}

#[test]
fn given_a_decoded_submit_when_its_last_item_finishes_then_its_buffer_is_freed() {
    let (encoded, freed) = count_frees(submit("l", &["a", "b", "c"]).encode());
    let mut table = JobTable::default();
    table.apply(&Command::decode(&encoded).unwrap());
    drop(encoded);
    let is_freed = || freed.load(Ordering::SeqCst) > 0;
    table.apply(&finish("l", "b", "text"));
    table.apply(&abandon("l", "a"));
    assert!(!is_freed());
    assert_eq!(table.item_body("l", "c"), Some("body of c".into()));
    table.apply(&finish("l", "c", "text"));
    assert!(is_freed());
    assert_eq!(read(&table, "l", 0).unwrap().outputs.len(), 3);
}

#[test]
fn given_a_decoded_submit_when_the_job_ends_then_its_buffer_is_freed() {
    let (encoded, freed) = count_frees(submit("l", &["a", "b"]).encode());
    let mut table = JobTable::default();
    table.apply(&Command::decode(&encoded).unwrap());
    drop(encoded);
    table.apply(&end("l"));
    assert_eq!(freed.load(Ordering::SeqCst), 1);
}

#[test]
fn given_decoded_outputs_then_each_keeps_only_its_own_buffer() {
    let mut table = after(&[submit("l", &["a", "b"])]);
    let encoded = ["a", "b"].map(|item| count_frees(finish_plain("l", item, 1000).encode()));
    let [a, b] = encoded.map(|(encoded, freed)| {
        table.apply(&Command::decode(&encoded).unwrap());
        // A slice of the command, not a copy.
        let text = table.output_text("l", table.totals().finished - 1).unwrap().stored().as_ptr() as usize;
        let start = encoded.as_ptr() as usize;
        assert!((start..start + encoded.len()).contains(&text));
        freed
    });
    assert_eq!((a.load(Ordering::SeqCst), b.load(Ordering::SeqCst)), (0, 0));
    table.apply(&Command::Forget { before: DUE });
    assert_eq!((a.load(Ordering::SeqCst), b.load(Ordering::SeqCst)), (1, 1));
}

#[test]
fn given_a_restored_table_then_chunks_are_freed_with_their_contents() {
    let (chunks, freed): (Vec<Bytes>, Vec<_>) =
        chunks(&several_chunks()).into_iter().map(count_frees).unzip();
    let mut table = restore(&chunks).unwrap();
    drop(chunks);
    let held_count = || freed.iter().filter(|freed| freed.load(Ordering::SeqCst) == 0).count();
    let all = held_count();
    assert!(all > 10);
    // Chunks of items whose bodies are gone are freed though all outputs are there.
    table.apply(&end("k"));
    table.apply(&end("l"));
    let outputs = held_count();
    assert!(outputs < all);
    assert_eq!(read(&table, "k", 0).unwrap().outputs.len(), 10);
    table.apply(&Command::Forget { before: DUE });
    assert_eq!(held_count(), 0);
}

#[test]
fn given_a_chunk_of_wrong_length_then_restore_fails() {
    let whole = chunks(&after(&[submit("l", &["a", "b"]), finish("l", "a", "text"), submit("m", &["c"])]));
    for which in 0..whole.len() {
        let mut harmed = whole.clone();
        for cut in 0..whole[which].len() {
            harmed[which] = whole[which].slice(..cut);
            assert!(restore(&harmed).is_err(), "chunk {which} cut at {cut}");
        }
        harmed[which] = [&whole[which][..], &[0]].concat().into();
        assert!(restore(&harmed).is_err(), "chunk {which}, a byte more");
    }
    assert!(restore(&whole).is_ok());
}

#[test]
fn given_chunks_missing_doubled_or_swapped_then_restore_fails() {
    let whole = chunks(&several_chunks());
    for which in 0..whole.len() {
        let mut missing = whole.clone();
        missing.remove(which);
        assert!(restore(&missing).is_err(), "chunk {which} is missing");
        let mut doubled = whole.clone();
        doubled.insert(which, whole[which].clone());
        assert!(restore(&doubled).is_err(), "chunk {which} twice");
        for other in 0..which {
            let mut swapped = whole.clone();
            swapped.swap(which, other);
            assert!(restore(&swapped).is_err(), "chunks {which} and {other} swapped");
        }
        assert!(restore(&whole[..which]).is_err(), "up to chunk {which}");
    }
}

#[test]
fn given_a_failed_restore_then_further_chunks_are_rejected() {
    let whole = chunks(&several_chunks());
    let mut restore = JobTableRestore::default();
    restore.add_chunk(&whole[0]).unwrap();
    assert!(restore.add_chunk(&whole[2]).is_err());
    assert!(whole[1..].iter().all(|chunk| restore.add_chunk(chunk).is_err()));
    assert!(restore.finish().is_err());
}

#[test]
fn given_a_damaged_stored_text_then_decoding_and_restore_fail() {
    let text = "a text with some repetition ".repeat(20);
    let command = finish("l", "a", &text);
    let Command::FinishItem { text: stored, .. } = &command else { panic!("a list") };
    let is_stored = |bytes: &[u8]| bytes.windows(stored.stored().len()).position(|at| at == stored.stored());
    let encoded = command.encode();
    let start = is_stored(&encoded).unwrap();
    let whole = chunks(&after(&[submit("l", &["a"]), command.clone()]));
    let place = is_stored(&whole[1]).unwrap();
    for at in 0..stored.stored().len() {
        let harm = |bytes: &Bytes, at: usize| {
            let mut harmed = bytes.to_vec();
            harmed[at] ^= 0x55;
            Bytes::from(harmed)
        };
        assert!(Command::decode(&harm(&encoded, start + at)).is_err(), "byte {at}");
        assert!(restore(&[whole[0].clone(), harm(&whole[1], place + at)]).is_err(), "byte {at}");
    }
}

const JOBS: [&str; 4] = ["k", "l", "m", "n"];
const ITEMS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// With bodies and texts from none to more than a chunk.
fn commands() -> impl Strategy<Value = Vec<Command>> {
    let length = prop_oneof![5 => 0_usize..100, 5 => 100_usize..30_000, 1 => 30_000_usize..100_000];
    let job = prop::sample::select(&JOBS);
    let bodies = prop::collection::btree_map(prop::sample::select(&ITEMS), length.clone(), 0..6);
    let submit = (job.clone(), 0_i64..100, bodies).prop_map(|(job, at, bodies)| {
        let items = bodies.into_iter().map(|(id, length)| item_with_body(id, length)).collect();
        let mut command = submit_within(job, 0, DUE, items);
        if let Command::Submit { submitted_at, .. } = &mut command {
            *submitted_at = at;
        }
        command
    });
    let finish = (job.clone(), prop::sample::select(&ITEMS), length, any::<bool>()).prop_map(
        |(job, item, length, is_plain)| match is_plain {
            true => finish_plain(job, item, length),
            false => finish(job, item, &"text ".repeat(length / 5)),
        },
    );
    let end = job.prop_map(end);
    let forget = (0_i64..100).prop_map(|before| Command::Forget { before });
    prop::collection::vec(prop_oneof![4 => submit, 12 => finish, 1 => end, 1 => forget], 0..60)
}

fn assert_same(a: &JobTable, b: &JobTable) {
    for job in JOBS {
        assert_eq!(a.contains_job(job), b.contains_job(job));
        (0..8).for_each(|since| assert_eq!(a.read_outputs(job, since), b.read_outputs(job, since)));
        ITEMS.iter().for_each(|item| assert_eq!(a.item_body(job, item), b.item_body(job, item)));
    }
    assert_eq!(a.waiting_tokens(common::ROUTE), b.waiting_tokens(common::ROUTE));
    assert_eq!((a.memory_bytes(), a.totals()), (b.memory_bytes(), b.totals()));
    assert_eq!(chunks(a), chunks(b));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, rng_seed: RngSeed::Fixed(28), failure_persistence: None, ..Default::default() })]

    /// A table that goes on from a restored copy stays the same as one that played all, and a snapshot
    /// stays what it was.
    #[test]
    fn given_any_commands_then_a_restored_table_is_equal_and_stays_equal(commands in commands(), at in any::<prop::sample::Index>()) {
        let cut = at.index(commands.len() + 1);
        let mut played = after(&commands[..cut]);
        let (snapshot, old) = (played.snapshot(), chunks(&played));
        let mut restored = restore(&old).unwrap();
        assert_same(&played, &restored);
        for command in &commands[cut..] {
            prop_assert_eq!(played.apply(command), restored.apply(command));
        }
        assert_same(&played, &restored);
        let encoded: Vec<Bytes> = (0..snapshot.chunk_count()).map(|number| snapshot.chunk(number)).collect();
        prop_assert_eq!(encoded, old);
    }

    /// Its length is known before, and a chunk over the bound holds one record with one item or output.
    #[test]
    fn given_any_commands_then_only_a_chunk_of_a_single_item_or_output_is_over_the_bound(commands in commands()) {
        let table = after(&commands);
        let chunks = chunks(&table);
        prop_assert_eq!(table.snapshot().encoded_len(), chunks.iter().map(|chunk| chunk.len() as u64).sum::<u64>());
        for chunk in chunks.iter().filter(|chunk| chunk.len() > CHUNK_BYTES) {
            let count = |at: usize| u32::from_le_bytes(chunk[at..at + 4].try_into().unwrap());
            // Number, records, tag, length of the id, id, items or outputs.
            prop_assert_eq!(count(4), 1);
            prop_assert!([2, 3].contains(&chunk[8]));
            let id = count(9) as usize;
            prop_assert_eq!(count(13 + id), 1);
        }
    }
}
