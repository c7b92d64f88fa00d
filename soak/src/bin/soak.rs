//! Strikes the real programs with seeded faults and judges the promises.

use std::{env, io, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use masticlock_soak::{
    process,
    run::{self, Options, Report},
};
use tokio::{runtime, task::LocalSet};

/// Strikes the real programs with seeded faults and judges the promises.
///
/// Exit codes: 0 all promises were kept; 1 some were broken; 2 the run could not be played.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// First seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds, one after the other
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    seeds: u64,
    /// Minutes of faults for each seed
    #[bpaf(long, argument("MINUTES"), fallback(0.5), display_fallback)]
    minutes: f64,
    /// Entry instances
    #[bpaf(long, argument("N"), fallback(6), display_fallback)]
    entries: usize,
    /// Callers
    #[bpaf(long, argument("N"), fallback(24), display_fallback)]
    callers: usize,
    /// Program with the entry and control processes; by default the one beside this program
    #[bpaf(long, argument("FILE"), optional)]
    program: Option<PathBuf>,
    /// Program of another build, with which the processes begin before they are replaced one after
    /// the other
    #[bpaf(long, argument("FILE"), optional)]
    from: Option<PathBuf>,
    /// Fault that is planted in a program built with the feature plant: repeat-unsafe, no-lease,
    /// old-revision, no-sync, no-notice, no-quiet, no-limit, no-ban, no-brittle, limit-transfer,
    /// restart-transfer or obey-outdated
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    plant: String,
    /// Prints the faults of the seeds and plays nothing
    #[bpaf(long)]
    plan: bool,
    /// Ends the processes that standard input names when it ends
    #[bpaf(long, hide)]
    guard: bool,
}

fn main() -> ExitCode {
    let args = args().run();
    if args.guard {
        return match process::guard(io::stdin().lock()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(&error),
        };
    }
    let mut broken = 0;
    for seed in args.seed..args.seed + args.seeds {
        if args.plan {
            println!("seed {seed}:");
            for (at, fault) in run::plan(seed, length(&args), args.entries) {
                println!("{at:>7} {fault}");
            }
            continue;
        }
        match play(&args, seed) {
            Ok(report) => {
                println!(
                    "seed {seed}: {} faults, {} requests, {} served, {} promises broken",
                    report.faults,
                    report.requests,
                    report.served,
                    report.broken.len()
                );
                for what in &report.broken {
                    println!("  {what}");
                }
                broken += report.broken.len();
            }
            Err(error) => return fail(&error),
        }
    }
    ExitCode::from(u8::from(broken > 0))
}

fn length(args: &Args) -> Duration {
    Duration::from_secs_f64(args.minutes * 60.0)
}

fn fail(error: &io::Error) -> ExitCode {
    eprintln!("soak: {error}");
    ExitCode::from(2)
}

fn play(args: &Args, seed: u64) -> io::Result<Report> {
    let own = env::current_exe()?;
    let program = match &args.program {
        Some(program) => program.clone(),
        None => run::beside(&own, "masticlock-platform")?,
    };
    let folder = env::temp_dir().join(format!("masticlock-soak-{}-{seed}", std::process::id()));
    let options = Options {
        seed,
        length: length(args),
        entries: args.entries,
        callers: args.callers,
        program,
        from: args.from.clone(),
        guard: own,
        plant: args.plant.clone(),
        folder: folder.clone(),
    };
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let report = LocalSet::new().block_on(&runtime, run::play(&options))?;
    if report.broken.is_empty() {
        std::fs::remove_dir_all(folder)?;
    } else {
        println!("settings, logs and data are in {}", folder.display());
    }
    Ok(report)
}
