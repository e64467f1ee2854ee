//! What each pure part costs at growing sizes up to that of the users' plan for the next two years.
//!
//! `cargo bench -p borageshore_bench` writes `docs/measured/slopes.csv`: one line a part, metric and
//! size. Times are the median of several rounds in nanoseconds; bytes and counts are exact.

use std::{alloc::System, fmt::Write, hint::black_box, sync::Arc, time::Instant};

use borageshore_base::SortedMap;
use borageshore_lease::{LeaseAgent, LeaseRecord, LeaseTable, ShardClaim, Want, wants_of};
use borageshore_log::{Envelope, Fold};
use borageshore_membership::{GossipMessage, Heartbeat, MemberEntry, MemberState, Membership};
use borageshore_rollout::{
    Freshness, JobController, JobPlan, Ledger, LedgerRecord, PullDecision, PullView, ReplicaView,
    Sample, Segment, SwapLimits, Versions, plan_swaps,
};
use borageshore_routing::{
    Admission, AdmissionLimits, ChoiceRequest, EndpointListing, EndpointState, EndpointTable,
    KeyTable, LoadReport, StoredAnswer, Ticket, Workload, choose_endpoint,
};
use borageshore_settings::{Edit, SettingValue, SettingsChange, SettingsFold, SettingsRecord};
use borageshore_wire::{encode, gossip_to_wire};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: usize = 15;
const CSV: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/measured/slopes.csv"
);

/// Collects lines of the file.
#[derive(Debug, Default)]
struct Report {
    lines: String,
}

impl Report {
    fn add(&mut self, part: &str, metric: &str, size: usize, value: f64) {
        let _ = writeln!(self.lines, "{part},{metric},{size},{value:.1}");
    }

    /// Times `work`, which does `repeats` things a round, and adds the median time of one.
    fn time<Work>(&mut self, part: &str, metric: &str, size: usize, repeats: usize, mut work: Work)
    where
        Work: FnMut(usize),
    {
        let mut rounds: Vec<f64> = (0..ROUNDS)
            .map(|round| {
                let started = Instant::now();
                for repeat in 0..repeats {
                    work(round * repeats + repeat);
                }
                started.elapsed().as_nanos() as f64 / repeats as f64
            })
            .collect();
        rounds.sort_by(f64::total_cmp);
        self.add(part, metric, size, rounds[ROUNDS / 2]);
    }

    /// Adds the memory that `make` leaves allocated.
    fn memory<Make, Made>(&mut self, part: &str, size: usize, make: Make) -> Made
    where
        Make: FnOnce() -> Made,
    {
        let region = Region::new(ALLOCATOR);
        let made = make();
        let change = region.change();
        // Reallocations are counted in both already.
        let bytes = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
        self.add(part, "memory_bytes", size, bytes);
        made
    }
}

fn main() {
    let mut report = Report {
        lines: "part,metric,size,value\n".into(),
    };
    settings(&mut report);
    membership(&mut report);
    addresses(&mut report);
    endpoints(&mut report);
    admission(&mut report);
    keys(&mut report);
    leases(&mut report);
    candidacy(&mut report);
    jobs(&mut report);
    swaps(&mut report);
    print!("{}", report.lines);
    // `cargo test --benches` runs this as well; only a real bench run may rewrite the file.
    if std::env::args().any(|argument| argument == "--bench") {
        std::fs::write(CSV, report.lines).expect("docs/measured can be written");
    }
}

fn envelope<Body>(sequence: u64, body: Body) -> Envelope<Body> {
    Envelope {
        writer: "vm-1.1".into(),
        sequence,
        body,
    }
}

fn change(edits: Vec<Edit>) -> SettingsRecord {
    SettingsRecord::Change(SettingsChange {
        actor: "operator".into(),
        reason: "measure".into(),
        edits,
    })
}

fn edit(node: &str, key: &str, value: SettingValue, based_on: u64) -> Edit {
    Edit {
        node: node.into(),
        key: key.into(),
        value: Some(value),
        based_on,
    }
}

/// A tree of `size` nodes, each with a parent, a kind of traffic and two numbers.
fn tree(size: usize) -> SettingsFold {
    let mut fold = SettingsFold::default();
    for number in 0..size {
        let node = format!("node-{number}");
        let parent = if number == 0 {
            "root".to_owned()
        } else {
            format!("node-{}", (number - 1) / 8)
        };
        let edits = vec![
            edit(&node, "parent", SettingValue::Text(parent.into()), 0),
            edit(&node, "kind", SettingValue::Text("traffic".into()), 0),
            edit(&node, "importance", SettingValue::Integer(50), 0),
        ];
        fold.apply(
            number as u64,
            0,
            &envelope(number as u64 + 1, change(edits)),
        );
    }
    fold
}

fn settings(report: &mut Report) {
    for size in [125, 250, 500, 1_000, 2_000] {
        let mut fold = report.memory("settings", size, || tree(size));
        let mut at = size as u64;
        report.time("settings", "fold_ns", size, 10, |_| {
            let node = format!("node-{}", size / 2);
            let based_on = fold.tree().revision(&node, "importance");
            let edits = vec![edit(
                &node,
                "importance",
                SettingValue::Integer(at % 100),
                based_on,
            )];
            fold.apply(at, 0, &envelope(at + 1, change(edits)));
            at += 1;
        });
        let snapshot = serde_json::to_string(&fold.snapshot()).expect("plain data");
        report.add("settings", "snapshot_bytes", size, snapshot.len() as f64);
        report.time("settings", "load_ns", size, 1, |_| {
            let mut loaded = SettingsFold::default();
            loaded.restore(serde_json::from_str(&snapshot).expect("just written"));
            black_box(loaded);
        });
        let record = envelope(
            1,
            change(vec![edit(
                "node-1",
                "importance",
                SettingValue::Integer(5),
                77,
            )]),
        );
        let record = serde_json::to_string(&record).expect("plain data");
        report.add("settings", "record_bytes", size, record.len() as f64);
        report.time("settings", "read_ns", size, 1_000, |_| {
            black_box(
                fold.tree()
                    .integer(&format!("node-{}", size - 1), "queue_deadline_ms"),
            );
        });
    }
}

fn member(number: usize) -> MemberEntry {
    MemberEntry {
        name: format!("vm-{number}").into(),
        incarnation: 1_796_000_000_000,
        counter: 100,
        zone: format!("zone-{}", number % 25).into(),
        http_address: format!("10.0.{}.{}:7100", number / 250, number % 250).into(),
        peer_address: format!("10.0.{}.{}:7101", number / 250, number % 250).into(),
        gossip_address: format!("10.0.{}.{}:7102", number / 250, number % 250).into(),
        state: MemberState::Live,
    }
}

fn members(size: usize) -> Membership {
    let mut membership = Membership::open(member(0), Vec::new(), 0);
    for number in 1..size {
        membership.on_entry(member(number), 0);
    }
    membership
}

fn membership(report: &mut Report) {
    for size in [45, 85, 170, 340, 680] {
        let mut membership = report.memory("membership", size, || members(size));
        // Let the first news pass.
        for round in 0..400 {
            membership.advance(round);
            membership.gossip(round, round);
        }
        let mut bytes = 0;
        let mut messages = 0;
        report.time("membership", "tick_ns", size, 50, |round| {
            membership.advance(400 + round as u64);
            for (_, message) in membership.gossip(round as u64 * 7, 400) {
                bytes += encode(&gossip_to_wire(&message)).expect("encodes").len();
                messages += 1;
            }
        });
        let ticks = (ROUNDS * 50) as f64;
        report.add(
            "membership",
            "sent_bytes_per_tick",
            size,
            bytes as f64 / ticks,
        );
        report.add(
            "membership",
            "messages_per_tick",
            size,
            f64::from(messages) / ticks,
        );
        let (_, message) = membership.gossip(1, 400).swap_remove(0);
        let mut counter = 200;
        report.time("membership", "receive_message_ns", size, 100, |_| {
            counter += 1;
            let entries = message.entries.iter().map(|entry| MemberEntry {
                counter,
                ..entry.clone()
            });
            let heartbeats = message.heartbeats.iter().map(|beat| Heartbeat {
                counter,
                ..beat.clone()
            });
            let message = GossipMessage {
                entries: entries.collect(),
                heartbeats: heartbeats.collect(),
            };
            membership.on_message(message, 400);
        });
    }
}

fn addresses(report: &mut Report) {
    for size in [45, 85, 170, 340, 680] {
        let membership = members(size);
        report.time("addresses", "answer_ns", size, 20, |round| {
            black_box(membership.address_list(&format!("caller-{round}"), 4));
        });
    }
}

fn listing(number: usize) -> EndpointListing {
    EndpointListing {
        name: format!("engine-{number}").into(),
        service: "engine".into(),
        zone: format!("zone-{}", number % 25).into(),
        address: format!("10.1.{}.{}:80", number / 250, number % 250).into(),
        state: EndpointState::Live,
    }
}

fn endpoints(report: &mut Report) {
    for size in [30, 60, 120, 240, 480] {
        let mut table = report.memory("endpoints", size, || {
            let mut table = EndpointTable::default();
            table.on_listing((0..size).map(listing).collect());
            table
        });
        for number in 0..size {
            table.on_report(
                &format!("engine-{number}"),
                LoadReport {
                    requests: number as u64 % 16,
                    slots: 16,
                },
                0,
            );
        }
        let mut random = Pcg64Mcg::seed_from_u64(1);
        report.time("endpoints", "choose_ns", size, 100, |_| {
            let request = ChoiceRequest {
                service: "engine",
                prefix: Some("prompt"),
                zone: "zone-1",
                tried: &[],
            };
            black_box(choose_endpoint(&table, request, 100, &mut random));
        });
    }
}

fn admission(report: &mut Report) {
    for size in [16, 64, 256, 1_024, 4_096] {
        let limits = AdmissionLimits {
            slots: 16,
            training_slots: 2,
            queue_limit_requests: size as u64,
        };
        let mut admission = Admission::open(limits);
        let ticket = |id: u64| Ticket {
            id,
            node: "clerks".into(),
            importance: id % 10,
            workload: Workload::Live,
            deadline_ms: u64::MAX,
        };
        for id in 0..size as u64 {
            admission.offer(ticket(id));
        }
        report.time("admission", "turn_ns", size, 100, |round| {
            admission.finish(Workload::Live, 10);
            black_box(admission.start_next());
            black_box(admission.offer(ticket(100_000 + round as u64)));
        });
    }
}

fn keys(report: &mut Report) {
    for size in [1_000, 4_000, 16_000, 32_000, 64_000] {
        let mut table = KeyTable::open("vm-1".into(), 1, 600_000, 1 << 30);
        let prefix = table.prefix(0);
        let answer = StoredAnswer {
            code: borageshore_base::ResultCode::Done,
            status: 200,
            content_type: "application/json".into(),
            body: vec![0; 64],
            detail: String::new(),
        };
        report.memory("keys", size, || {
            for number in 0..size {
                let key = format!("vm-1.1.0.{number:08}");
                table.decide(&key, &prefix, 0);
                table.on_answer(&key, answer.clone());
            }
        });
        report.time("keys", "run_ns", size, 20, |round| {
            // Spread over the table, as callers' own parts are.
            let key = format!("vm-1.1.0.{:08}-{round}", (round * 7_919) % size);
            black_box(table.decide(&key, &prefix, 0));
            table.on_answer(&key, answer.clone());
        });
    }
}

fn lease_table(size: usize) -> LeaseTable {
    let mut table = LeaseTable::default();
    for number in 0..size {
        let session: Arc<str> = format!("vm-{number}.1").into();
        let renew = LeaseRecord::Renew {
            session: session.clone(),
            ttl_ms: 5_000,
        };
        let claim = ShardClaim {
            shard: format!("job/{number}").into(),
            observed_epoch: 0,
            observed_renewal: None,
        };
        let claim = LeaseRecord::Claim {
            session,
            shards: vec![claim],
        };
        table.apply(
            number as u64 * 2,
            0,
            &envelope(number as u64 * 2 + 1, renew),
        );
        table.apply(
            number as u64 * 2 + 1,
            0,
            &envelope(number as u64 * 2 + 2, claim),
        );
    }
    table
}

fn leases(report: &mut Report) {
    for size in [10, 20, 40, 80, 160] {
        let table = report.memory("leases", size, || lease_table(size));
        let mut agent = LeaseAgent::open("vm-1.1".into());
        let wants: Vec<Want> = (0..size)
            .map(|number| Want {
                shard: format!("job/{number}").into(),
                rank: 1,
            })
            .collect();
        report.time("leases", "tick_ns", size, 100, |round| {
            black_box(agent.tick(&table, &wants, 5_000, round as u64));
        });
        let renew = LeaseRecord::Renew {
            session: "vm-100.1796000000000".into(),
            ttl_ms: 5_000,
        };
        let record = serde_json::to_string(&envelope(1_000_000, renew)).expect("plain data");
        report.add("leases", "record_bytes", size, record.len() as f64);
        let snapshot = serde_json::to_string(&table.snapshot()).expect("plain data");
        report.add("leases", "snapshot_bytes", size, snapshot.len() as f64);
    }
}

/// One daemon's candidacy for 27 jobs and the weights of 25 services among all daemons.
fn candidacy(report: &mut Report) {
    let shards: Vec<Arc<str>> = (0..52)
        .map(|number| format!("job/{number}").into())
        .collect();
    for size in [45, 85, 170, 340, 680] {
        let names: Vec<String> = (0..size).map(|number| format!("vm-{number}")).collect();
        report.time("candidacy", "tick_ns", size, 20, |_| {
            black_box(wants_of(
                "vm-1",
                &shards,
                names.iter().map(String::as_str),
                4,
            ));
        });
    }
}

fn jobs(report: &mut Report) {
    for size in [128, 256, 512, 1_024, 2_048] {
        let plan = JobPlan {
            groups_per_step: size as u64 / 8,
            samples_per_group: 8,
            steps_ahead: 2,
            freshness: Freshness {
                versions: 1,
                age_ms: 600_000,
            },
        };
        let versions = Versions {
            target: 1,
            floor: 1,
        };
        let mut controller = JobController::open("job".into(), 1);
        let mut ledger = Ledger::default();
        ledger.apply(0, 0, &envelope(1, LedgerRecord::Open { epoch: 1 }));
        let orders = controller.tick(&plan, versions, 0);
        report.time("jobs", "idle_tick_ns", size, 10, |_| {
            black_box(controller.tick(&plan, versions, 1));
        });
        let started = Instant::now();
        let count = orders.len();
        for order in orders {
            controller.on_sample(sample(order.id, order.group), 0, 1);
        }
        report.add(
            "jobs",
            "finish_sample_ns",
            size,
            started.elapsed().as_nanos() as f64 / count as f64,
        );
        let view = PullView {
            cursor: 0,
            seen_epoch: 0,
            max_samples: size as u64,
            target_version: 1,
        };
        let started = Instant::now();
        let PullDecision::Append(record) = controller.on_pull(&ledger, &plan, view, 1) else {
            panic!("a step is ready");
        };
        let record = envelope(2, record);
        let bytes = serde_json::to_string(&record).expect("plain data").len();
        ledger.apply(1, 0, &record);
        controller.on_ledger(&ledger);
        let PullDecision::Deliver(delivery) = controller.on_pull(&ledger, &plan, view, 1) else {
            panic!("a step is numbered");
        };
        assert_eq!(delivery.samples.len(), size);
        report.add(
            "jobs",
            "hand_over_ns",
            size,
            started.elapsed().as_nanos() as f64,
        );
        report.add("jobs", "ledger_bytes_per_step", size, bytes as f64);
    }
}

fn sample(id: Arc<str>, group: u64) -> Sample {
    Sample {
        id,
        group,
        prompt: "prompt".into(),
        tokens: Vec::new(),
        segments: vec![Segment {
            version: 1,
            token_count: 1,
        }],
        score: None,
        age_ms: 0,
    }
}

fn swaps(report: &mut Report) {
    for size in [750, 1_500, 3_000, 6_000, 12_000] {
        let mut replicas: SortedMap<usize, ReplicaView> = SortedMap::default();
        for number in 0..size {
            let name = format!("engine-{number}").into();
            replicas.insert(
                number,
                ReplicaView {
                    name,
                    version: Some(number as u64 % 2),
                    is_loading: false,
                },
            );
        }
        let replicas: Vec<ReplicaView> = replicas.values().cloned().collect();
        let limits = SwapLimits {
            wave_replicas: 600,
            minimum_serving_percent: 50,
        };
        report.time("swaps", "plan_ns", size, 3, |_| {
            black_box(plan_swaps(&replicas, 2, limits));
        });
    }
}
