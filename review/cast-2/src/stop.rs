//! A daemon is stopped with SIGTERM while callers use it as long as their address lists are valid.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::{self, Channel},
    world::{HOST, World},
};

/// From SIGTERM to SIGKILL, as the settings say.
const GRACE: Duration = Duration::from_secs(8);
/// The time limit of a requester and of the route.
const DEADLINE_MS: u64 = 2_000;
/// The work of the late requests, within the time limit.
const WORK_MS: u64 = 1_850;
/// When the requests are sent after the SIGTERM: within three times the time that the directory's answer gave, 2 s.
const SENT_AFTER_MS: [u64; 6] = [1_000, 3_200, 4_500, 5_300, 5_600, 5_850];

#[derive(Debug)]
struct Outcome {
    id: String,
    sent_ms: u64,
    ended_ms: u64,
    status: Result<u16, String>,
}

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let Some(mut world) = World::start(folder, 3) else {
        return Verdict::NotPlayed;
    };
    thread::sleep(Duration::from_secs(2));
    let record = world.record.clone();
    let stopped = &world.daemons[0];
    let front = stopped.front;
    let target = format!("GET /api/resolve?name={HOST}&region=viti-levu&zone=suva-hall");
    let resolved = http::call(stopped.directory, &target, &[("Host", HOST.into())], b"");
    let Ok(resolved) = resolved else {
        return Verdict::NotPlayed;
    };
    record.line(&format!("directory: {}", resolved.text()));
    if !resolved.text().contains(&front.to_string()) || !resolved.text().contains("\"ttl_s\":2") {
        return Verdict::NotPlayed;
    }
    // The channels are kept from before the stop.
    let mut channels = Vec::new();
    for number in 0..SENT_AFTER_MS.len() {
        let Ok(mut channel) = Channel::open(front) else {
            return Verdict::NotPlayed;
        };
        let warm = request(&mut channel, &format!("warm-{number}"), 25);
        if !matches!(warm, Ok(200)) {
            return Verdict::NotPlayed;
        }
        channels.push(channel);
    }
    let started = Instant::now();
    if has_trouble {
        stopped.signal("TERM");
        record.line(&format!("SIGTERM to {}", stopped.name));
    }
    let callers: Vec<_> = channels
        .into_iter()
        .zip(SENT_AFTER_MS)
        .map(|(mut channel, sent_after_ms)| {
            let record = Arc::clone(&record);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(sent_after_ms));
                let id = format!("call-{sent_after_ms}");
                record.line(&format!("caller: sends {id}"));
                let sent_ms = started.elapsed().as_millis() as u64;
                let status = request(&mut channel, &id, WORK_MS);
                let ended_ms = started.elapsed().as_millis() as u64;
                record.line(&format!(
                    "caller: {id} ends after {} ms with {status:?}",
                    ended_ms - sent_ms
                ));
                Outcome {
                    id,
                    sent_ms,
                    ended_ms,
                    status,
                }
            })
        })
        .collect();
    let mut ended_ms = None;
    while started.elapsed() < GRACE {
        if ended_ms.is_none() && world.daemons[0].has_ended() {
            ended_ms = Some(started.elapsed().as_millis());
            record.line(&format!(
                "the daemon has ended {} ms after the signal",
                ended_ms.unwrap_or(0)
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
    world.daemons[0].kill();
    let outcomes: Vec<Outcome> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    let mut cut = 0;
    for outcome in &outcomes {
        let ran = world
            .plain
            .iter()
            .any(|replica| replica.runs().contains_key(&outcome.id));
        let took_ms = outcome.ended_ms - outcome.sent_ms;
        let is_cut = outcome.status.is_err() && ran && took_ms < DEADLINE_MS;
        if is_cut {
            cut += 1;
            record.line(&format!(
                "LOST: {} was sent {} ms after the signal, was passed on to a replica, and its channel ended without an answer after {took_ms} ms",
                outcome.id, outcome.sent_ms
            ));
        }
    }
    let answered = outcomes
        .iter()
        .filter(|outcome| outcome.status == Ok(200))
        .count();
    record.line(&format!(
        "{} sent, {answered} answered with 200, {cut} cut",
        outcomes.len()
    ));
    match (cut, answered == outcomes.len() || has_trouble) {
        (0, true) => Verdict::Held,
        (0, false) => Verdict::NotPlayed,
        _ => Verdict::Broken,
    }
}

fn request(channel: &mut Channel, id: &str, work_ms: u64) -> Result<u16, String> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", DEADLINE_MS.to_string()),
    ];
    let body = format!("work {work_ms}");
    let answer = channel.call("POST /lohu930/2f", &headers, body.as_bytes());
    let answer = answer.map_err(|error| error.to_string())?;
    match answer.header("x-request-id") {
        Some(echoed) if answer.status() == 200 && echoed != id => {
            Err(format!("answer to {echoed}"))
        }
        _ => Ok(answer.status()),
    }
}
