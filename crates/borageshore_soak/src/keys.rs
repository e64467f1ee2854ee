//! Organisations and keys of the callers: issues and revokes keys, and checks that revoked keys are refused.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use borageshore_net::{HttpClient, sleep_ms};
use borageshore_standins::platform::{
    PlatformEngine, PlatformService, PlatformStore, RecordedCaller,
};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::{
    oracle::Oracle,
    regions::{GUEST_ORG, organisation_of},
    traffic::Traffic,
};

/// A call made longer than this after its key was revoked must not run, at any daemon.
pub(crate) const REVOCATION_MS: u64 = 5_000;
/// Organisation of the callers.
pub(crate) const CALLER_ORG: &str = "mill";
/// Organisation of the trainer.
pub(crate) const TRAINER_ORG: &str = "farm";
/// Pause between two calls with a revoked key.
const PROBE_PAUSE_MS: u64 = 60;
/// Prefix of the ids of these calls.
const PROBE: &str = "revoked";

/// A revoked key.
#[derive(Debug, Clone)]
struct Revoked {
    key: String,
    at_ms: u64,
}

/// The callers' keys, and the calls made with revoked ones.
#[derive(Debug)]
pub(crate) struct Keys {
    are_required: bool,
    config: Value,
    number: RefCell<u64>,
    revoked: RefCell<Vec<Revoked>>,
    /// When each call with a revoked key was made, and when the key was revoked, by the call's id.
    probes: RefCell<BTreeMap<String, (u64, u64)>>,
}

impl Keys {
    /// Writes the routes to the store, with organisations and keys if `are_required`.
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
            // The next key is published before it is used, so that every daemon knows it by then.
            let keys = [self.caller_key(number), self.caller_key(number + 1)];
            let mut organisations = json!([
                { "name": CALLER_ORG, "api_keys": keys }, { "name": TRAINER_ORG, "api_keys": ["farm-key"] },
            ]);
            let others = config["tenants"].as_array().cloned().unwrap_or_default();
            let organisations_list = organisations.as_array_mut().expect("a list");
            organisations_list.extend(others);
            config["tenants"] = organisations;
        }
        store.put("keyed.op", "config", config.to_string().as_bytes());
    }

    fn caller_key(&self, number: u64) -> String {
        format!("mill-key-{number}")
    }

    /// Returns the value of the `authorization` header for an organisation, if keys are required.
    pub(crate) fn header_of(&self, organisation: &str) -> Option<String> {
        let key = match organisation {
            GUEST_ORG => "dock-key".into(),
            CALLER_ORG => self.caller_key(*self.number.borrow()),
            _ => "farm-key".into(),
        };
        self.are_required.then(|| format!("Bearer {key}"))
    }

    /// Revokes the callers' key; callers switch to the next one.
    pub(crate) fn revoke(&self, store: &PlatformStore, now_ms: u64) {
        let key = self.caller_key(*self.number.borrow());
        *self.number.borrow_mut() += 1;
        self.write(store);
        self.revoked
            .borrow_mut()
            .push(Revoked { key, at_ms: now_ms });
    }

    /// Makes calls with the last revoked key at random daemons until traffic ends.
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

    /// Checks what endpoints received: the right organisation, no key, and no call whose key was revoked.
    pub(crate) fn check(
        &self,
        oracle: &Oracle,
        engines: &[PlatformEngine],
        services: &[PlatformService],
    ) {
        let calls = services.iter().flat_map(PlatformService::callers);
        for (id, callers) in calls {
            let is_reward = id.starts_with("reward");
            let expected = Some(organisation_of(&id)).filter(|_| self.are_required && !is_reward);
            callers
                .iter()
                .for_each(|caller| check_caller(oracle, &id, caller, expected));
            let probes = self.probes.borrow();
            if let Some((made_at_ms, revoked_at_ms)) = probes.get(&id)
                && *made_at_ms > revoked_at_ms + REVOCATION_MS
            {
                let late_ms = made_at_ms - revoked_at_ms;
                oracle.record_violation(format!(
                    "call {id} ran although it was made {late_ms} ms after its key was revoked"
                ));
            }
        }
        for run in engines.iter().flat_map(PlatformEngine::runs) {
            let expected = Some(TRAINER_ORG).filter(|_| self.are_required);
            check_caller(oracle, &run.item, &run.caller, expected);
        }
    }
}

async fn probe_once(traffic: Rc<Traffic>, id: String, front: usize, key: String) {
    // The response doesn't matter: the endpoints record whether the call runs.
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
        oracle.record_violation(format!(
            "call {id} reached an endpoint with its caller's key"
        ));
    }
    if caller.organisation.as_deref() != expected {
        let named = &caller.organisation;
        oracle.record_violation(format!(
            "call {id} ran in the name of {named:?} instead of {expected:?}"
        ));
    }
}
