//! The sidecar program: reads its configuration and runs until SIGTERM.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use millethook_config::LogFormat;
use plankvale::Reload;
use plankvale::cli::Cli;
use plankvale::config::Config;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tracing_subscriber::EnvFilter;

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(code) = cli.run_command() {
        return code;
    }
    match run(cli.product_file()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("plankvale: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(product: Option<PathBuf>) -> Result<(), String> {
    let config = Config::from_env(product.as_deref())?;
    init_logging(&config)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the async runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
        let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
        let (reload_sender, reloads) = mpsc::channel(1);
        spawn_local(reload(product, hangup, reload_sender));
        let stop = async move {
            terminate.recv().await;
        };
        plankvale::run(config, stop, reloads).await
    })
}

/// Sets up logging to stderr with the configured filter and format.
fn init_logging(config: &Config) -> Result<(), String> {
    let log = &config.product.log;
    let filter = EnvFilter::try_new(log.filter.as_deref().unwrap_or("info"));
    let filter = filter.map_err(|e| format!("log.filter: {e}"))?;
    let lines = tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr);
    match log.format {
        LogFormat::Text => lines.with_env_filter(filter).init(),
        LogFormat::Json => lines.with_env_filter(filter).json().init(),
    }
    Ok(())
}

/// Reads the configuration again at each SIGHUP. An invalid one leaves the old one in force.
async fn reload(product: Option<PathBuf>, mut hangup: Signal, reload_sender: mpsc::Sender<Reload>) {
    while hangup.recv().await.is_some() {
        let config = Config::from_env(product.as_deref()).map(Box::new);
        if reload_sender.send(config).await.is_err() {
            return;
        }
    }
}
