//! Scripted scenarios, one file each under `scenarios/`.
//!
//! The output is compared with the expected one in the file; `UPDATE_GOLDENFILES=1` rewrites it.

use std::error::Error;

use borageshore_base::ResultCode;
use borageshore_routing::Outcome;
use borageshore_scenarios::{PullReply, World};
use borageshore_settings::{Edit, SettingValue, SettingsChange, Verdict};
use goldenscript::{Command, Context, Runner};

macro_rules! scenarios {
    ($($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                let path = concat!("scenarios/", stringify!($name), ".txt");
                let mut runner = ScenarioRunner { world: World::open(&["a", "b", "c"]) };
                goldenscript::run(&mut runner, path).unwrap();
            }
        )*
    };
}

scenarios! {
    settings_race
    settings_inherit
    lost_answer
    delayed_append
    retention
    log_outage
    job_through_outage
    lease_takeover
    paused_holder
    slow_clock
    request_keys
    key_window
    job_takeover
    trainer_restart
    lost_delivery
    staleness_bound
    fencing
    late_claim
    late_snapshot
    pull_before_ledger
}

struct ScenarioRunner {
    world: World,
}

type Output = Result<String, Box<dyn Error>>;

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Output {
        let mut arguments = command.consume_args();
        let mut next = || arguments.next_pos().ok_or("an argument is missing");
        let output = match command.name.as_str() {
            "advance" => self.advance(next()?.parse()?),
            "settle" => self.settle(),
            "tick" => self.tick(next()?),
            "crash" => self.crash(next()?),
            "start" => self.start(next()?),
            "pause" => self.set_paused(next()?, true),
            "resume" => self.set_paused(next()?, false),
            "clock" => self.set_clock(next()?, next()?.parse()?),
            "lease_ttl" => self.set_lease_ttl(next()?.parse()?),
            "outage" => self.set_outage(next()? == "on"),
            "lose_answer" => self.lose_answer(),
            "delay_append" => self.delay_append(next()?),
            "block" => self.block(Some(next()?)),
            "cut_off" => self.set_partitioned(next()?, true),
            "mend" => self.set_partitioned(next()?, false),
            "unblock" => self.block(None),
            "until_delayed" => self.until_delayed(),
            "until_holder" => self.until_holder(next()?),
            "release" => self.release(),
            "trim" => self.trim(next()?, next()?.parse()?),
            "snapshot" => self.snapshot(next()?),
            "set" => self.set(next()?, next()?, next()?, next()?),
            "unset" => self.unset(next()?, next()?, next()?),
            "change" => self.change(next()?, next()?, next()?, next()?, next()?.parse()?),
            "effective" => self.effective(next()?, next()?, next()?),
            "audit" => self.audit(next()?),
            "offsets" => self.offsets(next()?),
            "owner" => self.owner(next()?),
            "holders" => self.holders(),
            "prefix" => self.prefix(next()?),
            "call" => self.call(next()?, next()?),
            "runs" => self.runs(next()?),
            "lose_run" => self.lose_run(),
            "generate" => self.generate(next()?),
            "pull" => self.pull(next()?, Received::Yes),
            "pull_lost" => self.pull(next()?, Received::No),
            "trainer_back_to" => self.trainer_back_to(next()?.parse()?),
            "weights" => self.weights(next()?.parse()?),
            "order" => self.order(next()?, next()?.parse()?),
            "order_late" => self.order_late(next()?.parse()?, next()?.parse()?),
            name => Err(format!("unknown command {name}").into()),
        }?;
        if let Err(broken) = self.world.check() {
            return Err(format!("broken: {broken:?}").into());
        }
        Ok(output)
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Received {
    Yes,
    No,
}

impl ScenarioRunner {
    fn advance(&mut self, duration_ms: u64) -> Output {
        self.world.advance(duration_ms);
        Ok(String::new())
    }

    fn settle(&mut self) -> Output {
        self.world.settle();
        Ok(String::new())
    }

    fn tick(&mut self, name: &str) -> Output {
        self.world.tick(name);
        Ok(String::new())
    }

    fn crash(&mut self, name: &str) -> Output {
        self.world.crash(name);
        Ok(String::new())
    }

    fn start(&mut self, name: &str) -> Output {
        self.world.start(name);
        Ok(String::new())
    }

    fn set_paused(&mut self, name: &str, is_paused: bool) -> Output {
        self.world
            .members
            .get_mut(name)
            .ok_or("no such member")?
            .is_paused = is_paused;
        Ok(String::new())
    }

    fn set_clock(&mut self, name: &str, permille: u64) -> Output {
        self.world
            .members
            .get_mut(name)
            .ok_or("no such member")?
            .clock_permille = permille;
        Ok(String::new())
    }

    fn set_lease_ttl(&mut self, lease_ttl_ms: u64) -> Output {
        for (_, member) in self.world.members.iter_mut() {
            member.lease_ttl_ms = lease_ttl_ms;
        }
        Ok(String::new())
    }

    fn set_outage(&mut self, has_outage: bool) -> Output {
        self.world.log.has_outage = has_outage;
        Ok(String::new())
    }

    fn lose_answer(&mut self) -> Output {
        self.world.log.lose_next_response = true;
        Ok(String::new())
    }

    fn delay_append(&mut self, text: &str) -> Output {
        self.world.log.delay_next = Some(text.to_owned());
        Ok(String::new())
    }

    fn set_partitioned(&mut self, name: &str, is_partitioned: bool) -> Output {
        let member = self.world.members.get_mut(name).ok_or("no such member")?;
        member.is_partitioned = is_partitioned;
        Ok(String::new())
    }

    fn block(&mut self, stream: Option<&str>) -> Output {
        self.world.log.blocked_stream = stream.map(Into::into);
        Ok(String::new())
    }

    fn until_delayed(&mut self) -> Output {
        self.world.advance_until_delayed();
        Ok(String::new())
    }

    fn until_holder(&mut self, name: &str) -> Output {
        self.world.advance_until_holder(name);
        Ok(String::new())
    }

    fn release(&mut self) -> Output {
        let now_ms = self.world.now_ms;
        self.world.log.release(now_ms);
        Ok(String::new())
    }

    fn trim(&mut self, stream: &str, below_offset: u64) -> Output {
        self.world.log.trim(stream, below_offset);
        Ok(String::new())
    }

    fn snapshot(&mut self, name: &str) -> Output {
        self.world.snapshot_settings(name);
        Ok(String::new())
    }

    fn set(&mut self, name: &str, node: &str, key: &str, value: &str) -> Output {
        let value = Some(SettingValue::from_text(value));
        let edit = self
            .world
            .edit(name, node, key, value)
            .ok_or("no such member")?;
        self.propose(name, edit)
    }

    fn unset(&mut self, name: &str, node: &str, key: &str) -> Output {
        let edit = self
            .world
            .edit(name, node, key, None)
            .ok_or("no such member")?;
        self.propose(name, edit)
    }

    fn change(&mut self, name: &str, node: &str, key: &str, value: &str, based_on: u64) -> Output {
        let value = Some(SettingValue::from_text(value));
        self.propose(
            name,
            Edit {
                node: node.into(),
                key: key.into(),
                value,
                based_on,
            },
        )
    }

    fn propose(&mut self, name: &str, edit: Edit) -> Output {
        let actor = format!("operator at {name}").into();
        let change = SettingsChange {
            actor,
            reason: "scenario".into(),
            edits: vec![edit],
        };
        self.world
            .propose(name, change)
            .ok_or("the member does not run")?;
        Ok(String::new())
    }

    fn effective(&mut self, name: &str, node: &str, key: &str) -> Output {
        let member = self.world.members.get(name).ok_or("no such member")?;
        let found = member.settings.follower.fold().tree().effective(node, key);
        let found = found.ok_or("no value")?;
        let origin = found.from_node.as_deref().unwrap_or("default").to_owned();
        Ok(format!(
            "{} from {origin} revision {}\n",
            found.value, found.revision
        ))
    }

    fn audit(&mut self, name: &str) -> Output {
        let member = self.world.members.get(name).ok_or("no such member")?;
        let lines = member.settings.follower.fold().audit().map(|entry| {
            let verdict = match &entry.verdict {
                Verdict::Accepted => "accepted".to_owned(),
                Verdict::Rejected(fault) => format!("rejected {fault}"),
            };
            format!("{} {}: {verdict}\n", entry.offset, entry.actor)
        });
        Ok(lines.collect())
    }

    fn offsets(&mut self, name: &str) -> Output {
        let member = self.world.members.get(name).ok_or("no such member")?;
        let follower = &member.settings.follower;
        let pending = member.settings.proposer.pending();
        Ok(format!(
            "{:?} applied {} pending {pending}\n",
            follower.state(),
            follower.applied_offset()
        ))
    }

    fn owner(&mut self, name: &str) -> Output {
        let member = self.world.members.get(name).ok_or("no such member")?;
        let shard = member.leases.follower.fold().shard("job/job");
        let owner = shard
            .and_then(|shard| shard.owner.as_deref())
            .unwrap_or("nobody");
        Ok(format!(
            "{owner} epoch {}\n",
            shard.map_or(0, |shard| shard.epoch)
        ))
    }

    fn holders(&mut self) -> Output {
        let now_ms = self.world.now_ms;
        let holders = self
            .world
            .members
            .values()
            .filter(|member| !member.is_paused);
        let holders = holders.filter_map(|member| {
            member
                .epoch("job/job", now_ms)
                .map(|epoch| format!("{} epoch {epoch}\n", member.name))
        });
        Ok(holders.collect())
    }

    fn prefix(&mut self, name: &str) -> Output {
        let now_ms = self.world.now_ms;
        let member = self.world.members.get(name).ok_or("no such member")?;
        Ok(format!("{}\n", member.keys.prefix(member.local_ms(now_ms))))
    }

    fn call(&mut self, name: &str, key: &str) -> Output {
        let reply = self
            .world
            .call(name, key)
            .ok_or("the member does not run")?;
        let ran = match reply.outcome {
            Outcome::NotRun => "not run",
            Outcome::Done => "done",
            Outcome::Unknown => "unknown",
        };
        Ok(format!("{ran} {}\n", reply.code))
    }

    fn runs(&mut self, key: &str) -> Output {
        Ok(format!(
            "{}\n",
            self.world.runs.get(key).copied().unwrap_or(0)
        ))
    }

    fn lose_run(&mut self) -> Output {
        self.world.lose_next_run = true;
        Ok(String::new())
    }

    fn generate(&mut self, name: &str) -> Output {
        Ok(format!("{} samples\n", self.world.generate(name)))
    }

    fn pull(&mut self, name: &str, received: Received) -> Output {
        match self.world.pull(name) {
            PullReply::Delivered(delivery) => {
                if received == Received::Yes {
                    self.world.accept(&delivery);
                }
                let samples = delivery
                    .samples
                    .iter()
                    .map(|(number, sample)| format!(" {number}={}", sample.id));
                let samples: String = samples.collect();
                Ok(format!(
                    "epoch {} through {}:{samples}\n",
                    delivery.epoch, delivery.through
                ))
            }
            PullReply::Refused(code) => Ok(refusal(code)),
            PullReply::Nothing => Ok("nothing yet\n".into()),
        }
    }

    fn trainer_back_to(&mut self, cursor: u64) -> Output {
        self.world.trainer.cursor = cursor;
        Ok(String::new())
    }

    fn weights(&mut self, version: u64) -> Output {
        self.world.target_version = version;
        Ok(String::new())
    }

    fn order(&mut self, name: &str, version: u64) -> Output {
        let now_ms = self.world.now_ms;
        let epoch = self
            .world
            .members
            .get(name)
            .and_then(|member| member.epoch("job/job", now_ms));
        match epoch {
            Some(epoch) => self.order_late(epoch, version),
            None => Ok("may not act\n".into()),
        }
    }

    fn order_late(&mut self, epoch: u64, version: u64) -> Output {
        let is_taken = self.world.order(epoch, version);
        Ok(format!(
            "{}\n",
            if is_taken {
                "taken"
            } else {
                "refused by the engine"
            }
        ))
    }
}

fn refusal(code: ResultCode) -> String {
    format!("refused {code}\n")
}
