//! What texts and snapshots cost on this machine: `cargo run --release -p rainlug-batch --example costs`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rainlug_batch::{Command, Item, ItemOutcome, JobTable, JobTableRestore, StoredText};

/// Texts of each kind and length.
const TEXTS: usize = 400;
/// Batch jobs of the table whose snapshot is measured.
const JOBS: u64 = 300;
/// Items of each batch job.
const ITEMS: u64 = 100;

/// Pseudo-random numbers (xorshift64).
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Lines of about a hundred random letters behind a few numbers, as workers answer.
    fn lines(&mut self, length: usize) -> String {
        let mut text = String::new();
        for line in 1.. {
            let count = 80 + self.next() % 40;
            text += &format!("6.1ef.{line}.{:016x}.", self.next());
            text.extend((0..count).map(|_| char::from(b'a' + (self.next() % 26) as u8)));
            if text.len() >= length {
                break;
            }
            text.push('\n');
        }
        text.truncate(length);
        text
    }
}

fn elapsed_micros(mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    work();
    start.elapsed().as_secs_f64() * 1e6
}

fn print_text_costs(name: &str, texts: &[String]) {
    let kilobytes = texts.iter().map(String::len).sum::<usize>() as f64 / 1000.0;
    let mut stored = Vec::new();
    let compress =
        elapsed_micros(|| stored = texts.iter().map(|text| StoredText::new(text.as_bytes())).collect());
    let check = elapsed_micros(|| {
        stored.iter().for_each(|text| drop(black_box(StoredText::from_stored(text.stored().clone()))));
    });
    let decompress = elapsed_micros(|| stored.iter().for_each(|text| drop(black_box(text.text()))));
    let bytes = stored.iter().map(|text| text.stored().len()).sum::<usize>() as f64;
    println!(
        "{name}: stored {:.3}, compress {:.1}, check {:.2}, decompress {:.1} us/KB",
        bytes / kilobytes / 1000.0,
        compress / kilobytes,
        check / kilobytes,
        decompress / kilobytes,
    );
}

/// With all items finished, each with a text of 3.3 KB.
fn full_table(random: &mut Random) -> JobTable {
    let mut table = JobTable::default();
    for job in 0..JOBS {
        let item = |id: u64| Item {
            id: format!("{job:016x}-{id:06}"),
            path: "/bulk/run".into(),
            headers: Vec::new(),
            body: Bytes::from(vec![b'x'; 500]),
            token_count: 1,
        };
        let id = format!("{job:016x}");
        table.apply(&Command::Submit {
            job: id.clone(),
            route: "bulk".into(),
            host: "bulk.example".into(),
            submitted_at: 1,
            deadline: 2,
            retain_until: 3,
            max_attempts: 1,
            max_waiting_tokens: 0,
            items: (0..ITEMS).map(item).collect(),
        });
        for item in 0..ITEMS {
            let text = StoredText::plain(random.lines(3300).as_bytes());
            let item = format!("{job:016x}-{item:06}");
            table.apply(&Command::FinishItem { job: id.clone(), item, outcome: ItemOutcome::Complete, text });
        }
    }
    table
}

fn print_snapshot_costs(table: &JobTable) {
    let start = Instant::now();
    let snapshot = table.snapshot();
    let taken = start.elapsed();
    let mut restore = JobTableRestore::default();
    let (mut encode_times, mut add_times) = (Vec::new(), Vec::new());
    for number in 0..snapshot.chunk_count() {
        let start = Instant::now();
        let chunk = snapshot.chunk(number);
        encode_times.push(start.elapsed());
        let start = Instant::now();
        restore.add_chunk(&chunk).expect("a chunk of a snapshot");
        add_times.push(start.elapsed());
    }
    let start = Instant::now();
    let restored = restore.finish().expect("a whole snapshot");
    let finish = start.elapsed();
    assert_eq!(restored.memory_bytes(), table.memory_bytes());
    println!(
        "{} bytes in {} chunks; snapshot {taken:?}, finish {finish:?}",
        snapshot.encoded_len(),
        snapshot.chunk_count()
    );
    for (name, times) in [("encode", encode_times), ("restore", add_times)] {
        let sum: Duration = times.iter().sum();
        println!("{name}: all chunks {sum:?}, the longest {:?}", times.iter().max().unwrap_or(&sum));
    }
}

fn main() {
    let mut random = Random(88_172_645_463_325_252);
    for length in [1000, 3300, 5000] {
        let texts: Vec<String> = (0..TEXTS).map(|_| random.lines(length)).collect();
        print_text_costs(&format!("letters, {length} bytes"), &texts);
    }
    let prose = include_str!("../../../docs/system.md");
    for length in [1000, 3300] {
        let texts: Vec<String> = prose
            .as_bytes()
            .chunks(length)
            .cycle()
            .take(TEXTS)
            .map(|chunk| String::from_utf8_lossy(chunk).into_owned())
            .collect();
        print_text_costs(&format!("prose, {length} bytes"), &texts);
    }
    print_snapshot_costs(&full_table(&mut random));
}
