//! Compares the log with `redb` and `fjall`: `cargo run --release -p millethook-edge --features contestants --example
//! stores -- FOLDER [ENTRIES]`. It stores writes of 400 bytes with a sync after each, then with a sync after every
//! 32, and then opens and reads a store of ENTRIES writes.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

use millethook_edge::log;
use millethook_edge::record::{Record, Repeat, Write};

fn write(n: u64) -> Record {
    Record::Write(Box::new(Write {
        at_ms: 1_700_000_000_000 + n,
        class: "log-upload".into(),
        repeat: Repeat::Never,
        member: n % 997 + 1,
        after: Vec::new(),
        method: "POST".into(),
        target: "/log-upload/contest".into(),
        headers: vec![("x-correlation-id".into(), format!("{n:016x}").into_bytes())],
        body: (0..300).map(|b| (n ^ b) as u8).collect(),
    }))
}

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// A store that takes writes in batches; a batch is on disk when `put` returns.
trait Store {
    fn name(&self) -> &'static str;
    fn put(&mut self, first: u64, batch: &[Vec<u8>]) -> Result<()>;
}

struct Log(File);

impl Store for Log {
    fn name(&self) -> &'static str {
        "log with crc32fast"
    }
    fn put(&mut self, first: u64, batch: &[Vec<u8>]) -> Result<()> {
        let mut bytes = Vec::new();
        for n in 0..batch.len() as u64 {
            log::append(&mut bytes, first + n, &write(first + n)).map_err(|_| "too long")?;
        }
        self.0.write_all(&bytes)?;
        Ok(self.0.sync_data()?)
    }
}

const TABLE: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("writes");

struct Redb(redb::Database);

impl Store for Redb {
    fn name(&self) -> &'static str {
        "redb 2"
    }
    fn put(&mut self, first: u64, batch: &[Vec<u8>]) -> Result<()> {
        let put = self.0.begin_write()?;
        {
            let mut table = put.open_table(TABLE)?;
            for (n, body) in batch.iter().enumerate() {
                table.insert(first + n as u64, body.as_slice())?;
            }
        }
        Ok(put.commit()?)
    }
}

struct Fjall(fjall::Keyspace, fjall::PartitionHandle);

impl Store for Fjall {
    fn name(&self) -> &'static str {
        "fjall 2"
    }
    fn put(&mut self, first: u64, batch: &[Vec<u8>]) -> Result<()> {
        for (n, body) in batch.iter().enumerate() {
            self.1.insert((first + n as u64).to_be_bytes(), body)?;
        }
        Ok(self.0.persist(fjall::PersistMode::SyncData)?)
    }
}

fn bodies(first: u64, count: u64) -> Vec<Vec<u8>> {
    let body = |n| {
        let mut bytes = Vec::new();
        log::append(&mut bytes, n, &write(n)).expect("it fits");
        bytes
    };
    (first..first + count).map(body).collect()
}

/// Returns the writes per second and the 99th percentile of a batch's duration.
fn rate(
    store: &mut dyn Store,
    next: &mut u64,
    batch: u64,
    length: Duration,
) -> Result<(f64, Duration)> {
    let (begin, first) = (Instant::now(), *next);
    let mut took = Vec::new();
    while begin.elapsed() < length {
        let bodies = bodies(*next, batch);
        let one = Instant::now();
        store.put(*next, &bodies)?;
        took.push(one.elapsed());
        *next += batch;
    }
    took.sort_unstable();
    let spent: Duration = took.iter().sum();
    let p99 = took[(took.len() - 1) * 99 / 100];
    Ok(((*next - first) as f64 / spent.as_secs_f64(), p99))
}

fn bytes_of(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let of = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(data) if data.is_dir() => bytes_of(&entry.path()),
        Ok(data) => data.len(),
        Err(_) => 0,
    };
    entries.map(of).sum()
}

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let folder = args.next().ok_or("a folder on the disk that is to be measured expected")?;
    let entries: u64 = args.next().and_then(|n| n.parse().ok()).unwrap_or(1_000_000);
    let folder = Path::new(&folder);
    println!(
        "| store | writes/s, one at a time | p99 | writes/s, 32 at a time | p99 of 32 | MB for {entries} | open and read s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for kind in 0..3 {
        let store_folder = folder.join(format!("store{kind}"));
        std::fs::create_dir_all(&store_folder)?;
        let open = |store_folder: &Path| -> Result<Box<dyn Store>> {
            Ok(match kind {
                0 => {
                    let file =
                        File::options().create(true).append(true).open(store_folder.join("log"))?;
                    Box::new(Log(file))
                }
                1 => Box::new(Redb(redb::Database::create(store_folder.join("db"))?)),
                _ => {
                    let keyspace = fjall::Config::new(store_folder).open()?;
                    let partition = keyspace.open_partition("writes", Default::default())?;
                    Box::new(Fjall(keyspace, partition))
                }
            })
        };
        let mut store = open(&store_folder)?;
        let name = store.name();
        let mut next = 1;
        let one = rate(&mut *store, &mut next, 1, Duration::from_secs(3))?;
        let many = rate(&mut *store, &mut next, 32, Duration::from_secs(3))?;
        while next <= entries {
            let count = 4096.min(entries + 1 - next);
            store.put(next, &bodies(next, count))?;
            next += count;
        }
        drop(store);
        let begin = Instant::now();
        let mut seen = 0u64;
        match kind {
            0 => {
                let file = std::fs::read(store_folder.join("log"))?;
                let sound = |item: &log::Item| matches!(item, log::Item::Record { .. });
                seen += log::scan(&file, 0).filter(sound).count() as u64;
            }
            1 => {
                use redb::ReadableTable;
                let db = redb::Database::open(store_folder.join("db"))?;
                let table = db.begin_read()?.open_table(TABLE)?;
                for entry in table.iter()? {
                    let (_, value) = entry?;
                    seen += u64::from(log::decode_one(value.value()).is_some());
                }
            }
            _ => {
                let keyspace = fjall::Config::new(&store_folder).open()?;
                let partition = keyspace.open_partition("writes", Default::default())?;
                for entry in partition.iter() {
                    let (_, value) = entry?;
                    seen += u64::from(log::decode_one(&value).is_some());
                }
            }
        }
        let opened = begin.elapsed();
        assert_eq!(seen, next - 1, "{name}");
        let per = entries as f64 / (next - 1) as f64;
        println!(
            "| {name} | {:.0} | {:.2} ms | {:.0} | {:.2} ms | {:.0} | {:.2} |",
            one.0,
            one.1.as_secs_f64() * 1e3,
            many.0,
            many.1.as_secs_f64() * 1e3,
            bytes_of(&store_folder) as f64 / 1e6 * per,
            opened.as_secs_f64() * per
        );
    }
    Ok(())
}
