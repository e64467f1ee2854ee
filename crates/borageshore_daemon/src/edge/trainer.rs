//! The routes for trainers: pulling samples by cursor and publishing weights.

use std::rc::Rc;

use borageshore_base::ResultCode;
use borageshore_net::EdgeRequest;
use serde::Deserialize;

use super::answer::{Answer, JSON, query_number, read_request_json};
use crate::{
    admin,
    daemon::{Daemon, Phase},
    jobs,
};

fn authorize_trainer(daemon: &Daemon, request: &EdgeRequest) -> Result<(), Answer> {
    let offered = admin::bearer_token(request);
    let is_known = daemon
        .config
        .trainer_token
        .as_ref()
        .is_some_and(|token| token.matches(offered));
    if is_known {
        Ok(())
    } else {
        Err(Answer::refused(ResultCode::Unauthorized, "trainer token"))
    }
}

pub(super) async fn on_pull(daemon: &Rc<Daemon>, job: &str, request: &EdgeRequest) -> Answer {
    let pull = match parse_pull(daemon, job, request) {
        Ok(pull) => pull,
        Err(answer) => return answer,
    };
    match jobs::pull(daemon, pull).await {
        Ok(body) => Answer::done(JSON, body),
        Err(code) => {
            let answer = Answer::refused(code, job);
            Answer {
                retry_after_ms: Some(500),
                ..answer
            }
        }
    }
}

fn parse_pull(daemon: &Daemon, job: &str, request: &EdgeRequest) -> Result<jobs::Pull, Answer> {
    authorize_trainer(daemon, request)?;
    if daemon.phase() == Phase::Starting {
        return Err(Answer::refused(ResultCode::NotReady, "no settings yet"));
    }
    Ok(jobs::Pull {
        job: job.into(),
        cursor: query_number(request, "cursor", 0)?,
        seen_epoch: query_number(request, "epoch", 0)?,
        max_samples: query_number(request, "max", 64)?.max(1),
        wait_ms: query_number(request, "wait_ms", 1_000)?,
    })
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WeightsBody {
    version: u64,
}

pub(super) async fn on_weights(daemon: &Rc<Daemon>, job: &str, request: EdgeRequest) -> Answer {
    if let Err(answer) = authorize_trainer(daemon, &request) {
        return answer;
    }
    match read_request_json::<WeightsBody>(request).await {
        Ok(body) => admin::publish_weights(daemon, job, body.version).await,
        Err(answer) => answer,
    }
}
