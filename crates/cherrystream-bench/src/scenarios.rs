//! Compares variants of the settings under load and faults, side by side in one run.

use crate::plot::{self, Series};
use crate::rig::Rig;
use crate::stats;
use argh::FromArgs;
use cherrystream_schema::messages::{Intent, ServerState};
use cherrystream_standin::backend::Options;
use cherrystream_standin::faults::Faults;
use cherrystream_standin::load;
use cherrystream_standin::profile::{self, Profile};
use cherrystream_standin::report::{Line, Report};
use std::collections::BTreeMap;
use std::time::Duration;

/// Compare variants under load and faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "scenarios")]
pub struct Args {
    /// load profile: prairie-hearth or hotel-linen
    #[argh(option, default = "String::from(\"prairie-hearth\")")]
    users: String,
    /// variants to compare: NAME=SETTING:VALUE, more than one setting joined by '+'
    #[argh(option)]
    variant: Vec<String>,
    /// scenarios to run; all by default
    #[argh(option)]
    scenario: Vec<String>,
    /// repeats of each scenario
    #[argh(option, default = "3")]
    repeats: usize,
    /// duration of each run in seconds
    #[argh(option, default = "4.0")]
    seconds: f64,
    /// SVG file for a plot of the p99 by scenario
    #[argh(option)]
    plot: Option<String>,
}

/// A load with an optional fault that starts during the run.
struct Scenario {
    name: &'static str,
    /// Load as a share of the capacity of all slots.
    load: f64,
    fault: Option<Faults>,
    /// Whether the fault affects all backend servers of the first host, or only that of the first
    /// service.
    whole_host: bool,
}

fn scenarios() -> Vec<Scenario> {
    let steady = |name, load| Scenario { name, load, fault: None, whole_host: false };
    let fault = |name, load, fault| Scenario { name, load, fault: Some(fault), whole_host: false };
    vec![
        steady("steady 50%", 0.5),
        steady("steady 80%", 0.8),
        steady("steady 95%", 0.95),
        steady("overload 150%", 1.5),
        fault("stall 50 ms", 0.5, Faults { stall_ms: 50, ..Faults::default() }),
        fault("stall 1 s", 0.5, Faults { stall_ms: 1_000, ..Faults::default() }),
        fault("slow 20 ms", 0.5, Faults { slow_ms: 20, ..Faults::default() }),
        fault("fails fast", 0.5, Faults { fail_share: 1.0, ..Faults::default() }),
        fault("lies", 0.5, Faults { claimed_in_flight: Some(0), slow_ms: 10, ..Faults::default() }),
        fault("drains", 0.5, Faults { state: Some(ServerState::Draining), ..Faults::default() }),
        Scenario {
            name: "host stalls",
            load: 0.4,
            fault: Some(Faults { stall_ms: 2_000, ..Faults::default() }),
            whole_host: true,
        },
    ]
}

/// Services and load profile of a site.
struct Users {
    services: [&'static str; 4],
    slots: usize,
    work: Duration,
    profile: Profile,
}

fn users(name: &str) -> Result<Users, String> {
    match name {
        "prairie-hearth" => Ok(Users {
            services: ["quotes", "payouts", "settlement", "history"],
            slots: 12,
            work: Duration::from_millis(20),
            profile: profile::prairie_hearth(),
        }),
        "hotel-linen" => Ok(Users {
            services: ["stock", "pickup", "invoicing", "fleet"],
            slots: 6,
            work: Duration::from_millis(20),
            profile: profile::hotel_linen(),
        }),
        other => Err(format!("unknown users '{other}'; use prairie-hearth or hotel-linen")),
    }
}

/// A running site with a variant of the settings.
struct Variant {
    name: String,
    rig: Rig,
}

/// Runs the comparison.
pub async fn run(args: &Args) -> Result<(), String> {
    let users = users(&args.users)?;
    let mut variants = Vec::new();
    let variant_texts = match args.variant.is_empty() {
        true => vec!["default=".to_string()],
        false => args.variant.clone(),
    };
    for text in &variant_texts {
        variants.push(start_variant(text, &users).await?);
    }
    let mut series: Vec<Series> =
        variants.iter().map(|v| Series { name: v.name.clone(), points: Vec::new() }).collect();
    println!(
        "{}, {} repeats of {} s, medians (low to high)",
        args.users, args.repeats, args.seconds
    );
    println!(
        "{:<14} {:<16} {:>22} {:>9} {:>9} {:>9} {:>8} {:>9}",
        "scenario", "variant", "p99 ms", "p99.9 ms", "p50 ms", "served", "unknown", "measuring"
    );
    let is_selected =
        |s: &Scenario| args.scenario.is_empty() || args.scenario.iter().any(|n| n == s.name);
    for (x, scenario) in scenarios().iter().filter(|s| is_selected(s)).enumerate() {
        let mut results = vec![Vec::new(); variants.len()];
        for repeat in 0..args.repeats {
            for (i, variant) in variants.iter().enumerate() {
                results[i].push(run_once(args, &users, scenario, variant, repeat as u64).await);
            }
        }
        for (i, variant) in variants.iter().enumerate() {
            let p99 = print(scenario, &variant.name, &results[i]);
            series[i].points.push((x as f64, p99));
        }
    }
    match &args.plot {
        Some(path) => plot::write(path, "p99 in ms by scenario", &series),
        None => Ok(()),
    }
}

async fn start_variant(text: &str, users: &Users) -> Result<Variant, String> {
    let (name, settings) =
        text.split_once('=').ok_or("a variant lacks '='; write it as NAME=SETTING:VALUE")?;
    let lines: String = settings
        .split('+')
        .filter_map(|s| s.split_once(':'))
        .map(|(key, value)| format!("  {key}: {value}\n"))
        .collect();
    let mut rig = Rig::start(&["a", "b", "c"], &lines).await?;
    for service in users.services {
        let service = service.into();
        rig.accept(Intent::PutService { service, measuring_per_second: 5 }).await?;
    }
    for kind in users.profile.kinds.iter().filter(|k| k.once) {
        rig.accept(Intent::PutKind {
            service: kind.service.clone(),
            kind: kind.kind.clone(),
            method: kind.method.clone(),
            path_prefix: kind.path.clone(),
            repeatable: false,
            weight: kind.weight as u32,
            deadline_ms: 3_000,
        })
        .await?;
    }
    for service in users.services {
        for host in 0..3 {
            let opts = Options {
                name: format!("{service}-{host}"),
                slots: users.slots,
                work: users.work,
                seed: host as u64 + 7,
                ..Options::default()
            };
            rig.add_server(service, host, opts).await?;
        }
    }
    rig.settle().await?;
    Ok(Variant { name: name.into(), rig })
}

#[derive(Clone, Debug)]
struct Outcome {
    report: Report,
    measured: u64,
}

async fn run_once(
    args: &Args,
    users: &Users,
    scenario: &Scenario,
    variant: &Variant,
    seed: u64,
) -> Outcome {
    let rig = &variant.rig;
    let before = measured(rig);
    let opts = load::Options {
        targets: rig.callers.clone(),
        rate: rate(users, scenario.load),
        duration: Duration::from_secs_f64(args.seconds),
        distance: Duration::from_millis(6),
        seed: seed + 1,
        ..load::Options::default()
    };
    let fault = async {
        tokio::time::sleep(opts.duration.mul_f64(0.3)).await;
        set_faults(rig, scenario, scenario.fault.as_ref());
    };
    let (report, ()) = tokio::join!(load::run(&opts, &users.profile), fault);
    set_faults(rig, scenario, Some(&Faults::default()));
    // Lets the site recover before the next run.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    Outcome { report, measured: measured(rig) - before }
}

/// Returns the request rate at which the busiest service has the given load.
fn rate(users: &Users, load: f64) -> f64 {
    let total: f64 = users.profile.kinds.iter().map(|k| k.share).sum();
    let top = users.profile.kinds.iter().map(|k| k.share).fold(0.0, f64::max);
    let slots = 3.0 * users.slots as f64;
    load * slots / users.work.as_secs_f64() * total / top
}

fn set_faults(rig: &Rig, scenario: &Scenario, faults: Option<&Faults>) {
    let Some(faults) = faults else { return };
    for (i, server) in rig.servers.iter().enumerate() {
        // Servers are added for each of three hosts in turn, so every third is on the first host.
        let on_first_host = i % 3 == 0;
        let of_first_service = i < 3;
        if on_first_host && (scenario.whole_host || of_first_service) {
            server.backend.set_faults(faults.clone());
        }
    }
}

fn measured(rig: &Rig) -> u64 {
    rig.servers.iter().map(|s| s.backend.counts().measured).sum()
}

fn print(scenario: &Scenario, variant: &str, outcomes: &[Outcome]) -> f64 {
    let each = |f: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(f).collect::<Vec<f64>>();
    let last = |o: &Outcome| o.report.lines.last().cloned();
    let ms = |us: u64| us as f64 / 1_000.0;
    let p99 = each(&|o| last(o).map_or(f64::NAN, |l| ms(l.p99_us)));
    let p999 = each(&|o| last(o).map_or(f64::NAN, |l| ms(l.p999_us)));
    let p50 = each(&|o| last(o).map_or(f64::NAN, |l| ms(l.p50_us)));
    let served = each(&|o| o.report.weighted_served);
    let unknown = each(&|o| {
        last(o).map_or(0.0, |l| {
            let n = |k: &str| l.outcomes.get(k).copied().unwrap_or(0) as f64;
            n("unknown") + n("broken")
        })
    });
    let measured = each(&|o| o.measured as f64);
    let (low, high) = stats::range(&p99);
    println!(
        "{:<14} {:<16} {:>8.2} ({:.1} to {:.1}) {:>9.2} {:>9.2} {:>9.4} {:>8} {:>9}",
        scenario.name,
        variant,
        stats::median(&p99),
        low,
        high,
        stats::median(&p999),
        stats::median(&p50),
        stats::median(&served),
        stats::median(&unknown),
        stats::median(&measured)
    );
    let mut refused = outcomes.iter().filter_map(last).map(|l| format!("{:?}", failures(&l)));
    if let Some(refused) = refused.next_back().filter(|r| r != "{}") {
        println!("{:<31} not answered in the last repeat: {refused}", "");
    }
    stats::median(&p99)
}

/// Returns the counts of failed requests by reason.
fn failures(line: &Line) -> BTreeMap<String, u64> {
    let mut failures = line.reasons.clone();
    if let Some(errors) = line.outcomes.get("error") {
        failures.insert("error of a backend server".into(), *errors);
    }
    failures
}
