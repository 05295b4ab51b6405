//! Random search with scripts on several threads: the long form of the tests that run scripts.

use std::process::ExitCode;
use std::thread;

use proptest::arbitrary::any;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// The number of runs if the command line gives none.
const DEFAULT_RUNS: u32 = 10_000;

/// The size and the first seed of a search.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    /// Number of scripts that are run, over all threads.
    pub runs: u32,
    /// The seed of the first thread. Each further thread uses the next seed.
    pub first_seed: u32,
    /// Number of threads.
    pub threads: u32,
}

impl Search {
    /// Reads the number of runs and the first seed from the first and second argument of the command line. Uses as many
    /// threads as there are processors.
    pub fn from_args() -> Search {
        Search {
            runs: argument(1).unwrap_or(DEFAULT_RUNS),
            first_seed: argument(2).unwrap_or(0),
            threads: thread::available_parallelism().map_or(1, |n| n.get() as u32),
        }
    }

    /// Runs scripts, each with a seed. Each thread stops at the first script for which `play` fails, or after its share of
    /// the runs.
    ///
    /// Returns a line for each thread that found a failure: the seed that reproduces it, and the shortest script.
    ///
    /// # Panics
    /// `play` panicked.
    pub fn run<S: Strategy>(
        &self,
        script: impl Fn() -> S + Sync,
        play: impl Fn(u64, &S::Value) -> Result<(), String> + Sync,
    ) -> Vec<String> {
        let (script, play) = (&script, &play);
        thread::scope(|scope| {
            let searches = (0..self.threads)
                .map(|thread| scope.spawn(move || self.search(thread, script(), play)))
                .collect::<Vec<_>>();
            let found = searches.into_iter().map(|search| search.join().expect("a search ends"));
            found.flatten().collect()
        })
    }

    /// One thread's part of the search. None: it found no failure.
    fn search<S: Strategy>(
        &self,
        thread: u32,
        script: S,
        play: impl Fn(u64, &S::Value) -> Result<(), String>,
    ) -> Option<String> {
        let cases = self.runs / self.threads + u32::from(thread < self.runs % self.threads);
        let config = Config { cases, failure_persistence: None, ..Config::default() };
        let seed = self.first_seed + thread;
        let mut seed_bytes = [0; 32];
        seed_bytes[..4].copy_from_slice(&seed.to_be_bytes());
        let random = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes);
        let mut runner = TestRunner::new_with_rng(config, random);
        let found = runner.run(&(any::<u64>(), script), |(seed, script)| {
            play(seed, &script).map_err(TestCaseError::fail)
        });
        found.err().map(|found| format!("search {seed}: {found}"))
    }

    /// Prints the number of runs, their summary and the failures. The exit code is 1 if there are failures.
    pub fn report(&self, summary: &str, found: &[String]) -> ExitCode {
        println!("{} runs: {summary}, {} findings", self.runs, found.len());
        found.iter().for_each(|found| println!("{found}"));
        ExitCode::from(u8::from(!found.is_empty()))
    }
}

/// Returns the `n`th argument of the command line, if it is a number.
pub fn argument(n: usize) -> Option<u32> {
    std::env::args().nth(n)?.parse().ok()
}
