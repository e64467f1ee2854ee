//! Trainers send large batch submissions while callers use kept channels. The platform kills a process that exceeds its
//! memory and starts it again, as the pages say.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, base64,
    http::{self, Channel},
    record::Record,
    world::{HOST, MODELS, World},
};

/// The largest body that a requester may send, by the manifest.
const MAX_BODY_BYTES: usize = 33_554_432;
/// The memory of a process, by its settings.
const MEMORY_KB: u64 = 270 * 1_024;
const DAEMONS: usize = 3;
/// Each trainer asks a step every four seconds, as in the sheets.
const STEP_INTERVAL: Duration = Duration::from_secs(4);
/// The time limit of a step, after which its trainer ends it, as in the sheets.
const STEP_LIMIT: Duration = Duration::from_secs(12);
/// The size of a group, as in the sheet of `navua-feedlog`.
const GROUP_ITEMS: usize = 4;
/// The kept channels of callers to each daemon.
const CHANNELS: usize = 6;
/// The requests that a machine may pass on and then cut off at any time.
const MOST_CUT: usize = 3;

/// What the trainers send, and for how long the case is played.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub trainers: usize,
    pub steps: usize,
    pub items: usize,
    /// The size of an item's body before it is encoded.
    pub item_bytes: usize,
    pub run_time: Duration,
}

/// One step whose submission has many items, 5.4 MB in all, a sixth of what the manifest allows.
pub const MANY_ITEMS: Load = Load {
    trainers: 1,
    steps: 1,
    items: 16_000,
    item_bytes: 30,
    run_time: Duration::from_secs(20),
};

/// Steps whose submissions are as large as the manifest allows.
pub const LARGE_BODIES: Load = Load {
    trainers: 2,
    steps: 4,
    items: 32,
    item_bytes: (MAX_BODY_BYTES - 100_000) / 32 / 4 * 3 - 400,
    run_time: Duration::from_secs(24),
};

impl Load {
    /// The same with submissions as in the sheet of `navua-feedlog`.
    fn without_trouble(self) -> Self {
        Self {
            items: 96,
            item_bytes: 600,
            ..self
        }
    }
}

fn submission(name: &str, trainer: usize, load: Load) -> String {
    let body = base64::encode(&vec![b'x'; load.item_bytes]);
    let model = MODELS[trainer];
    let item = |number: usize| {
        format!(
            "{{\"id\":\"{name}i{number}\",\"path\":\"/pule252/3/91c4\",\"headers\":{{\"X-Model\":\"{model}\",\
             \"X-Token-Count\":\"540,400\",\"X-Prompt-Prefix\":\"9c2e41:300,{number:x}:240\"}},\"body\":\"{body}\",\
             \"num_tokens\":940,\"group\":\"{name}g{}\",\"scorer\":{{\"id\":\"{name}s{number}\",\
             \"host\":\"{HOST}\",\"path\":\"/pufi791/5e07\",\"body\":\"3q2+7w==\"}}}}",
            number / GROUP_ITEMS
        )
    };
    let items: Vec<String> = (0..load.items).map(item).collect();
    let text = format!(
        "{{\"step\":0,\"model\":\"{model}\",\"min_version\":1,\"target_groups\":{},\"items\":[{}]}}",
        load.items / GROUP_ITEMS,
        items.join(",")
    );
    assert!(
        text.len() <= MAX_BODY_BYTES,
        "more than the manifest allows"
    );
    text
}

/// Submits until a daemon accepts, each time at another one, on a new channel.
fn submit(record: &Record, fronts: &[SocketAddr], name: &str, text: &str, first: usize) {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", name.to_owned()),
        ("X-Deadline-Ms", "12000".to_owned()),
        ("Content-Type", "application/json".to_owned()),
    ];
    for attempt in 0..20 {
        let front = fronts[(first + attempt) % fronts.len()];
        let answer = http::call(
            front,
            &format!("POST /pule252/{name}"),
            &headers,
            text.as_bytes(),
        );
        let status = answer
            .map(|answer| answer.status())
            .map_err(|error| error.to_string());
        record.line(&format!(
            "trainer: {name}, {} bytes, to {front}: {status:?}",
            text.len()
        ));
        if status == Ok(202) {
            return;
        }
        thread::sleep(Duration::from_millis(300));
    }
}

/// Reads the results of a step twice a second, each time at another daemon, and ends it when all are there or its time
/// is up.
fn read_and_end(record: &Record, fronts: &[SocketAddr], name: &str, items: usize, asked: Instant) {
    let host = [("Host", HOST.to_owned())];
    let mut results = 0;
    let mut turn = 0;
    while results < items && asked.elapsed() < STEP_LIMIT {
        thread::sleep(Duration::from_millis(500));
        turn += 1;
        let target = format!("GET /api/lots/{name}?after={results}");
        if let Ok(answer) = http::call(fronts[turn % fronts.len()], &target, &host, b"") {
            results += answer.text().matches("\"state\"").count();
        }
    }
    record.line(&format!(
        "trainer: {name} has {results} of {items} results after {} ms",
        asked.elapsed().as_millis()
    ));
    for front in fronts {
        if http::call(*front, &format!("DELETE /api/lots/{name}"), &host, b"")
            .is_ok_and(|answer| answer.status() == 200)
        {
            return;
        }
    }
}

/// What the callers of one daemon saw: the requests whose channel ended without an answer.
type Cut = Mutex<BTreeMap<String, SocketAddr>>;

fn call_all_the_time(front: SocketAddr, caller: usize, is_over: &AtomicBool, cut: &Cut) {
    // The channel, once it has carried a request.
    let mut kept: Option<Channel> = None;
    for number in 0_u64.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let is_kept = kept.is_some();
        let Some(mut channel) = kept.take().or_else(|| Channel::open(front).ok()) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("call-{}-{caller}-{number}", front.port());
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Deadline-Ms", "2000".to_owned()),
        ];
        match channel.call("POST /lohu930/2f", &headers, b"work 100") {
            Ok(_) => kept = Some(channel),
            Err(_) if is_kept => {
                cut.lock().unwrap().insert(id, front);
            }
            Err(_) => {}
        }
    }
}

/// Starts the trainers, each of which asks one step after the other.
fn start_trainers(record: &Arc<Record>, fronts: &[SocketAddr], load: Load) {
    for trainer in 0..load.trainers {
        let (record, fronts) = (record.clone(), fronts.to_vec());
        thread::spawn(move || {
            for step in 0..load.steps {
                let name = step_name(trainer, step);
                let text = submission(&name, trainer, load);
                let asked = Instant::now();
                submit(&record, &fronts, &name, &text, trainer + step);
                read_and_end(&record, &fronts, &name, load.items, asked);
                thread::sleep(STEP_INTERVAL.saturating_sub(asked.elapsed()));
            }
        });
    }
}

fn step_name(trainer: usize, step: usize) -> String {
    format!("7c41{trainer}{step}")
}

/// The platform's part: ends processes that exceed their memory, and starts them again after a second. Returns how often
/// it ended each.
fn run_platform(world: &mut World, run_time: Duration) -> Vec<usize> {
    let record = world.record.clone();
    let started = Instant::now();
    let mut ended: Vec<(usize, Instant)> = Vec::new();
    let mut ends = vec![0; DAEMONS];
    while started.elapsed() < run_time {
        for (number, daemon) in world.daemons.iter_mut().enumerate() {
            let memory_kb = daemon.memory_kb("VmRSS");
            if memory_kb > MEMORY_KB {
                daemon.kill();
                ends[number] += 1;
                ended.push((number, Instant::now()));
                record.line(&format!(
                    "platform: {} had {memory_kb} kB, more than {MEMORY_KB}, and was killed",
                    daemon.name
                ));
            }
        }
        ended.retain(|(number, at)| {
            let is_due = at.elapsed() > Duration::from_secs(1);
            if is_due {
                world.daemons[*number].start();
                record.line(&format!(
                    "platform: {} started again",
                    world.daemons[*number].name
                ));
            }
            !is_due
        });
        thread::sleep(Duration::from_millis(2));
    }
    ends
}

pub fn play(folder: &Path, has_trouble: bool, load: Load) -> Verdict {
    let Some(mut world) = World::start(folder, DAEMONS) else {
        return Verdict::NotPlayed;
    };
    thread::sleep(Duration::from_secs(2));
    let load = match has_trouble {
        true => load,
        false => load.without_trouble(),
    };
    let record = world.record.clone();
    let fronts: Vec<SocketAddr> = world.daemons.iter().map(|daemon| daemon.front).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(Cut::default());
    for front in &fronts {
        for caller in 0..CHANNELS {
            let (front, is_over, cut) = (*front, is_over.clone(), cut.clone());
            thread::spawn(move || call_all_the_time(front, caller, &is_over, &cut));
        }
    }
    start_trainers(&record, &fronts, load);
    let ends = run_platform(&mut world, load.run_time);
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(2_500));
    let cut = cut.lock().unwrap();
    let mut is_broken = false;
    for (number, daemon) in world.daemons.iter().enumerate() {
        let of_daemon = cut.iter().filter(|(_, front)| **front == daemon.front);
        let ran = |id: &str| {
            world
                .plain
                .iter()
                .any(|replica| replica.runs().contains_key(id))
        };
        let lost: Vec<&str> = of_daemon
            .map(|(id, _)| id.as_str())
            .filter(|id| ran(id))
            .collect();
        for id in &lost {
            record.line(&format!(
                "LOST: {id} was passed on to a replica and its kept channel ended without an answer"
            ));
        }
        record.line(&format!(
            "{}: at most {} kB since its last start, ended {} times for its memory, {} requests lost",
            daemon.name,
            daemon.memory_kb("VmHWM"),
            ends[number],
            lost.len()
        ));
        is_broken |= lost.len() > MOST_CUT;
    }
    let steps =
        (0..load.trainers).flat_map(|trainer| (0..load.steps).map(move |step| (trainer, step)));
    for (trainer, step) in steps {
        let name = step_name(trainer, step);
        let target = format!("GET /api/lots/{name}?after=0");
        let answers = fronts
            .iter()
            .map(|front| http::call(*front, &target, &[("Host", HOST.into())], b""));
        let seen: Vec<String> = answers
            .map(|answer| match answer {
                Ok(answer) => format!(
                    "{} with {} results",
                    answer.status(),
                    answer.text().matches("\"state\"").count()
                ),
                Err(error) => error.to_string(),
            })
            .collect();
        record.line(&format!("{name} at the end: {}", seen.join(", ")));
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
