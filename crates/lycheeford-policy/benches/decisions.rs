//! Measures how long a decision takes and how much memory its state needs, by size of the fleet.
//!
//! `cargo bench -p lycheeford-policy --bench decisions` prints both. The memory is taken from the
//! resident set size of the process. docs/CAPACITY.md cites the figures.

use std::any::Any;
use std::hint::black_box;
use std::process::Command;
use std::{env, fs};

use criterion::{BenchmarkId, Criterion};
use lycheeford_policy::{
    Activity, Adapter, CheckpointPlace, Configuration, Customer, Demand, DemandReport, FairQueue,
    LoadLimits, Model, Name, Planner, QueuedRequest, Readiness, ReplicaState, ReplicaView, Router,
    TargetView, TimeMs,
};

const NOW: TimeMs = TimeMs::from_ms(1_000_000);
const MODELS: usize = 240;
/// The index of the only model without a replica; some targets have its checkpoint on disk.
const COLD_MODEL: usize = MODELS - 1;
const ADAPTERS: usize = 17_000;
const TARGETS: [usize; 3] = [100, 1_000, 2_600];
const TARGET_MEMORY_BYTES: u64 = 80_000_000_000;
const MODEL_BYTES: u64 = 20_000_000_000;
const STATE_FLAG: &str = "--state=";
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let state =
        env::args().find_map(|argument| Some(argument.strip_prefix(STATE_FLAG)?.to_owned()));
    if let Some(state) = state {
        let parts: Vec<&str> = state.split(',').collect();
        let number = |index: usize| parts[index].parse().expect("a number");
        println!("{}", state_size(parts[0], number(1), number(2)));
        return;
    }
    state_sizes();
    let mut criterion = Criterion::default().configure_from_args().sample_size(30);
    planner(&mut criterion);
    router(&mut criterion);
    fair_queue(&mut criterion);
    criterion.final_summary();
}

fn model_name(index: usize) -> Name {
    Name::from(format!("model-{index:03}"))
}

fn adapter_name(index: usize) -> Name {
    Name::from(format!("adapter-{index:05}"))
}

fn target_name(index: usize) -> Name {
    Name::from(format!("target-{index:04}"))
}

fn configuration(adapters: usize) -> Configuration {
    let model = |index: usize| Model {
        name: model_name(index),
        memory_bytes: MODEL_BYTES,
        replicas_max: 30,
        load_remote_ms: 500,
        load_disk_ms: 200,
        min_bytes_per_token: 1,
        customers: Vec::new(),
    };
    let adapter = |index: usize| Adapter {
        name: adapter_name(index),
        model: model_name(index % MODELS),
        memory_bytes: 200_000_000,
        customers: Vec::new(),
    };
    let customer = |index: usize| Customer {
        name: Name::from(format!("customer-{index}")),
        rate_tokens_per_s: 1_000,
        burst_tokens: 10_000,
        class: 0,
    };
    Configuration {
        models: (0..MODELS).map(model).collect(),
        adapters: (0..adapters).map(adapter).collect(),
        customers: (0..100).map(customer).collect(),
        ..Configuration::default()
    }
}

/// Returns the status of a target that has one model and up to five of its adapters ready and two
/// checkpoints on disk.
fn view(index: usize, adapters: usize) -> TargetView {
    let model = index % (MODELS - 1);
    let replica =
        |name, memory_bytes| ReplicaView { name, state: ReplicaState::Ready, memory_bytes };
    let own_adapters = (model..adapters).step_by(MODELS).skip(index / MODELS).take(5);
    let mut replicas = vec![replica(model_name(model), MODEL_BYTES)];
    replicas.extend(own_adapters.map(|adapter| replica(adapter_name(adapter), 200_000_000)));
    TargetView {
        name: target_name(index),
        failure_domain: Name::from(format!("domain-{}", index % 4)),
        accepts_work: true,
        memory_total_bytes: TARGET_MEMORY_BYTES,
        reserved_bytes: 0,
        blocked: false,
        replicas,
        checkpoints: vec![
            (model_name(model), CheckpointPlace::Disk),
            (model_name(if model == 0 { COLD_MODEL } else { model - 1 }), CheckpointPlace::Disk),
        ],
        running: 3,
    }
}

fn new_planner(targets: usize, adapters: usize) -> Planner {
    let mut planner = Planner::new(LoadLimits::default());
    planner.configure(&configuration(adapters));
    for index in 0..targets {
        planner.observe_target(NOW, view(index, adapters));
    }
    planner.plan(NOW);
    planner
}

/// Reports demand for a cold model or adapter, plans its load, and undoes both, so that the next
/// iteration starts from the same state.
fn plan_cold_start(planner: &mut Planner, name: &Name) {
    let host = Name::from("host-0");
    let demand = Demand {
        name: name.clone(),
        customer: Name::from("customer-3"),
        class: 0,
        waiting: 1,
        deadline_in_ms: 5_000,
        waited_ms: 0,
    };
    let report = |demands| DemandReport { host: host.clone(), demands, activity: Vec::new() };
    planner.report_demand(NOW, report(vec![demand]));
    let actions = planner.plan(NOW);
    for action in black_box(actions) {
        if let lycheeford_policy::PlanAction::Load { name, target, .. } = action {
            planner.abandon(&name, &target);
        }
    }
    planner.report_demand(NOW, report(Vec::new()));
}

fn planner(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planner");
    for targets in TARGETS {
        let mut planner = new_planner(targets, ADAPTERS);
        group.bench_function(BenchmarkId::new("steady_plan", targets), |bencher| {
            bencher.iter(|| black_box(planner.plan(NOW)));
        });
        let cold_model = model_name(COLD_MODEL);
        group.bench_function(BenchmarkId::new("model_wakes_up", targets), |bencher| {
            bencher.iter(|| plan_cold_start(&mut planner, &cold_model));
        });
        let cold_adapter = adapter_name(ADAPTERS - MODELS);
        group.bench_function(BenchmarkId::new("adapter_wakes_up", targets), |bencher| {
            bencher.iter(|| plan_cold_start(&mut planner, &cold_adapter));
        });
        let view = view(targets / 2, ADAPTERS);
        group.bench_function(BenchmarkId::new("observe_target", targets), |bencher| {
            bencher.iter(|| planner.observe_target(NOW, view.clone()));
        });
        let activity = |index: usize| Activity { name: model_name(index), served: 8, running: 8 };
        let report = DemandReport {
            host: Name::from("host-1"),
            demands: Vec::new(),
            activity: (0..100).map(activity).collect(),
        };
        group.bench_function(BenchmarkId::new("report_of_100_names", targets), |bencher| {
            bencher.iter(|| planner.report_demand(NOW, report.clone()));
        });
    }
    for adapters in [1_000, 4_000, 17_000] {
        let mut planner = new_planner(2_600, adapters);
        let cold_adapter = adapter_name(adapters - MODELS);
        group.bench_function(BenchmarkId::new("adapter_of", adapters), |bencher| {
            bencher.iter(|| plan_cold_start(&mut planner, &cold_adapter));
        });
    }
    group.finish();
}

fn new_router(targets: usize) -> Router {
    let mut router = Router::with_seed(1);
    for index in 0..targets {
        let view = view(index, ADAPTERS);
        for replica in &view.replicas {
            router.set_replica(&replica.name, &view.name);
        }
        router.observe_load(NOW, &view.name, 3, 0);
    }
    router
}

fn router(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("router");
    for targets in TARGETS {
        let mut router = new_router(targets);
        let name = model_name(5);
        group.bench_function(BenchmarkId::new("choose", targets), |bencher| {
            let mut prefix = 0;
            bencher.iter(|| {
                prefix = (prefix + 1) % 100;
                let target = router.choose(NOW, &name, &[prefix, 1_000 + prefix], &[]);
                let target = target.expect("a replica");
                router.started(&target);
                router.finished(&target);
            });
        });
    }
    group.finish();
}

fn queued(index: usize) -> QueuedRequest<usize> {
    QueuedRequest {
        name: model_name(index % MODELS),
        customer: Name::from(format!("customer-{}", index % 20)),
        deadline: NOW + 1_000 + index as u64 % 5_000,
        cost_tokens: 500,
        payload: index,
    }
}

fn fair_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fair_queue");
    for waiting in [100, 1_000, 10_000] {
        let mut queue = FairQueue::new();
        queue.configure(&configuration(0));
        for index in 0..waiting {
            queue.push(NOW, queued(index));
        }
        let request = queued(3);
        group.bench_function(BenchmarkId::new("push_and_pop", waiting), |bencher| {
            bencher.iter(|| {
                queue.push(NOW, request.clone());
                black_box(queue.pop(NOW, &request.name))
            });
        });
    }
    group.finish();
}

/// Prints the memory that each state takes, each measured in a separate process.
fn state_sizes() {
    let planners = [(0, 1_000), (0, 17_000), (100, 17_000), (1_000, 17_000), (2_600, 17_000)];
    for (targets, adapters) in planners {
        print_size("planner", targets, adapters);
    }
    for targets in TARGETS {
        print_size("router", targets, ADAPTERS);
    }
    print_size("readiness", 0, 1_000);
    print_size("readiness", 0, ADAPTERS);
}

fn print_size(state: &str, targets: usize, adapters: usize) {
    let argument = format!("{STATE_FLAG}{state},{targets},{adapters}");
    let program = env::current_exe().expect("the path of this program");
    let output = Command::new(program).arg(argument).output().expect("a second process");
    let bytes = String::from_utf8_lossy(&output.stdout);
    println!("{state}: {targets} targets, {adapters} adapters: {} bytes", bytes.trim());
}

/// Returns by how many bytes the process grows while a state is built, temporary data included.
fn state_size(state: &str, targets: usize, adapters: usize) -> u64 {
    let before_bytes = resident_bytes();
    let built: Box<dyn Any> = match state {
        "planner" => Box::new(new_planner(targets, adapters)),
        "router" => Box::new(router_with_full_prefix_table(targets)),
        _ => Box::new(new_readiness(adapters)),
    };
    let used_bytes = resident_bytes().saturating_sub(before_bytes);
    drop(black_box(built));
    used_bytes
}

fn new_readiness(adapters: usize) -> Readiness {
    let mut readiness = Readiness::new();
    readiness.configure(&configuration(adapters));
    readiness
}

/// Returns a router whose prefix table is full.
fn router_with_full_prefix_table(targets: usize) -> Router {
    let mut router = new_router(targets);
    for request in 0..200_000u64 {
        let name = model_name(request as usize % (MODELS - 1));
        router.choose(NOW, &name, &[request, request + 1], &[]);
    }
    router
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
