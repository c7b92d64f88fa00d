//! Fakes of all upstreams of the Pindan Crown example, for running the processes by hand.
//!
//! Arguments are `DOMAIN=URL` pairs: where the upstreams of a failure domain announce themselves.

use std::process::ExitCode;

use masticlock::fake::Upstream;
use masticlock_core::{inventory, settings};

const INVENTORY: &str = include_str!("../../../examples/pindan-crown/inventory.json");

type Failure = Box<dyn std::error::Error + Send + Sync>;

async fn run(arguments: &[String]) -> Result<(), Failure> {
    let inventory: inventory::Raw = settings::parse("inventory.json", INVENTORY)?;
    let mut pairs = Vec::new();
    for argument in arguments {
        let pair = argument.split_once('=');
        pairs.push(pair.ok_or_else(|| format!("{argument} is not DOMAIN=URL"))?);
    }
    let mut running = Vec::new();
    for entry in &inventory.upstreams {
        let own = pairs
            .iter()
            .filter(|(domain, _)| entry.domain.as_str() == *domain);
        let urls: Vec<_> = own.map(|(_, url)| (*url).to_owned()).collect();
        if !urls.is_empty() {
            running.push(Upstream::start(entry, urls, &running).await?);
        }
    }
    println!("{} upstreams announce themselves", running.len());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run(&arguments)),
        Err(error) => Err(error.into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("upstreams: {error}");
            ExitCode::FAILURE
        }
    }
}
