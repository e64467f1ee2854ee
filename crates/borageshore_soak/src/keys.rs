//! Organisations and keys of the callers: who has which, what is taken away, and what must never run.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use borageshore_net::{HttpClient, sleep_ms};
use borageshore_standins::platform::{
    PlatformEngine, PlatformService, PlatformStore, RecordedCaller,
};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::{oracle::Oracle, traffic::Traffic};

/// A call that is made this long after its key was taken away does not run, at any daemon.
pub(crate) const REVOCATION_MS: u64 = 5_000;
/// Whose calls are made.
pub(crate) const CALLERS: &str = "mill";
/// Who trains.
pub(crate) const TRAINERS: &str = "farm";
/// The pause between two calls with a key that was taken away.
const PROBE_PAUSE_MS: u64 = 60;
/// What the ids of these calls begin with.
const PROBE: &str = "revoked";

/// A key that was taken away.
#[derive(Debug, Clone)]
struct Revoked {
    key: String,
    at_ms: u64,
}

/// The keys in force; none where callers need none.
#[derive(Debug)]
pub(crate) struct Keys {
    are_required: bool,
    config: Value,
    number: RefCell<u64>,
    revoked: RefCell<Vec<Revoked>>,
    /// When each call with a key that was taken away was made, and when the key was taken away.
    probes: RefCell<BTreeMap<String, (u64, u64)>>,
}

impl Keys {
    /// Writes the routes, with organisations if callers are to have keys.
    pub(crate) fn open(store: &PlatformStore, are_required: bool, config: Value) -> Rc<Self> {
        let keys = Rc::new(Self {
            are_required,
            config,
            number: RefCell::new(1),
            revoked: RefCell::default(),
            probes: RefCell::default(),
        });
        keys.write(store);
        keys
    }

    fn write(&self, store: &PlatformStore) {
        let mut config = self.config.clone();
        let number = *self.number.borrow();
        config["version"] = number.into();
        if self.are_required {
            // A key is added one version before it is used.
            let keys = [self.caller_key(number), self.caller_key(number + 1)];
            config["tenants"] = json!([
                { "name": CALLERS, "api_keys": keys }, { "name": TRAINERS, "api_keys": ["farm-key"] },
            ]);
        }
        store.put("keyed.op", "config", config.to_string().as_bytes());
    }

    fn caller_key(&self, number: u64) -> String {
        format!("mill-key-{number}")
    }

    /// The header of an organisation's calls; a key that was added before the last change.
    pub(crate) fn header_of(&self, organisation: &str) -> Option<String> {
        let key = match organisation {
            CALLERS => self.caller_key(*self.number.borrow()),
            _ => "farm-key".into(),
        };
        self.are_required.then(|| format!("Bearer {key}"))
    }

    /// Takes the callers' key away; they go on with the next one.
    pub(crate) fn revoke(&self, store: &PlatformStore, now_ms: u64) {
        let key = self.caller_key(*self.number.borrow());
        *self.number.borrow_mut() += 1;
        self.write(store);
        self.revoked
            .borrow_mut()
            .push(Revoked { key, at_ms: now_ms });
    }

    /// Makes calls with keys that were taken away, at any daemon.
    pub(crate) async fn probe(self: Rc<Self>, traffic: Rc<Traffic>, mut random: Pcg64Mcg) {
        let mut number = 0;
        while !traffic.is_over() {
            sleep_ms(PROBE_PAUSE_MS).await;
            let revoked = self.revoked.borrow().last().cloned();
            let Some(revoked) = revoked else { continue };
            number += 1;
            let id = format!("{PROBE}-{number}");
            let probe = (traffic.clock.now_ms(), revoked.at_ms);
            self.probes.borrow_mut().insert(id.clone(), probe);
            let front = random.next_u64() as usize % traffic.fronts.len();
            let header = format!("Bearer {}", revoked.key);
            monoio::spawn(probe_once(traffic.clone(), id, front, header));
        }
    }

    /// Checks what endpoints saw: in whose name requests ran, and that no key reached them.
    pub(crate) fn check(
        &self,
        oracle: &Oracle,
        engines: &[PlatformEngine],
        services: &[PlatformService],
    ) {
        let calls = services.iter().flat_map(PlatformService::callers);
        for (id, callers) in calls {
            let is_reward = id.starts_with("reward");
            let expected = Some(CALLERS).filter(|_| self.are_required && !is_reward);
            callers
                .iter()
                .for_each(|caller| check_caller(oracle, &id, caller, expected));
            let probes = self.probes.borrow();
            if let Some((made_at_ms, revoked_at_ms)) = probes.get(&id)
                && *made_at_ms > revoked_at_ms + REVOCATION_MS
            {
                let late_ms = made_at_ms - revoked_at_ms;
                oracle.record_violation(format!(
                    "{id} ran, made {late_ms} ms after its key was taken away"
                ));
            }
        }
        for run in engines.iter().flat_map(PlatformEngine::runs) {
            let expected = Some(TRAINERS).filter(|_| self.are_required);
            check_caller(oracle, &run.item, &run.caller, expected);
        }
    }
}

async fn probe_once(traffic: Rc<Traffic>, id: String, front: usize, key: String) {
    // Whatever it is answered, what counts is whether it runs.
    let headers = [
        ("x-request-id", id.as_str()),
        ("x-deadline-ms", "2000"),
        ("authorization", key.as_str()),
    ];
    let _ = traffic
        .request_on(
            &HttpClient::open(),
            traffic.fronts[front],
            "POST",
            "/safe/x",
            &headers,
            "body".into(),
        )
        .await;
}

fn check_caller(oracle: &Oracle, id: &str, caller: &RecordedCaller, expected: Option<&str>) {
    if caller.has_key {
        oracle.record_violation(format!("{id} reached an endpoint with its caller's key"));
    }
    if caller.organisation.as_deref() != expected {
        let named = &caller.organisation;
        oracle.record_violation(format!(
            "{id} ran in the name of {named:?} instead of {expected:?}"
        ));
    }
}
