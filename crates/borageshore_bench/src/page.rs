//! Renders the capacity page.

use std::fmt::Write;

use crate::{
    fit::Fit,
    sweep::{Row, Sweep},
};

/// The deployment sizes, in VMs, that the page extrapolates to.
const SIZES: [f64; 2] = [675.0, 680.0];
/// The memory budget of a daemon, in MB.
const MEMORY_MB: f64 = 256.0;
const PROCESSOR: &str = "daemon: processor %";
const MEMORY: &str = "daemon: memory MB";

/// Renders the page as Markdown.
pub fn render(sweeps: &[Sweep]) -> String {
    let mut page = String::from(INTRODUCTION);
    for sweep in sweeps {
        plays(&mut page, sweep);
        figures(&mut page, sweep);
    }
    page.push_str(ROLES);
    budgets(&mut page, sweeps);
    page.push_str(LEFT);
    page
}

fn plays(page: &mut String, sweep: &Sweep) {
    let _ = writeln!(
        page,
        "\n## {}\n\n| VMs | endpoints | requests served | worth | promises broken |\n|---|---|---|---|---|",
        sweep.deployment
    );
    for play in &sweep.plays {
        let broken = match play.broken.as_str() {
            "" => "none",
            broken => broken,
        };
        let _ = writeln!(
            page,
            "| {} | {} | {:.3} | {:.3} | {broken} |",
            play.daemons, play.endpoints, play.served, play.worth
        );
    }
}

/// Renders the metrics of a sweep, extrapolated by a line through the sizes without violations.
fn figures(page: &mut String, sweep: &Sweep) {
    page.push_str("\n| figure, middle / most |");
    for play in &sweep.plays {
        let _ = write!(page, " {} VMs |", play.daemons);
    }
    page.push_str(" for one VM more, most | miss |");
    for size in SIZES {
        let _ = write!(page, " {size} VMs, most |");
    }
    let columns = sweep.plays.len() + 3 + SIZES.len();
    let _ = writeln!(page, "\n|{}", "---|".repeat(columns));
    for row in &sweep.rows {
        figure(page, sweep, row);
    }
}

fn figure(page: &mut String, sweep: &Sweep, row: &Row) {
    let _ = write!(page, "| {} |", row.name);
    for (middle, most) in row.middle.iter().zip(&row.most) {
        let _ = write!(page, " {middle} / {most} |");
    }
    let fit = Fit::through(&sweep.points(&row.most));
    let _ = write!(
        page,
        " {:.3} | {:.0} % |",
        fit.slope,
        fit.worst_miss * 100.0
    );
    for size in SIZES {
        let _ = write!(page, " {:.0} |", fit.at(size).max(0.0));
    }
    page.push('\n');
}

fn budgets(page: &mut String, sweeps: &[Sweep]) {
    page.push_str(
        "\n## Budgets at 680 VMs\n\n| deployment | plain daemon, MB | busiest daemon, MB | of 256 MB | plain daemon, processor % |\n|---|---|---|---|---|\n",
    );
    for sweep in sweeps {
        let at = |name: &str, values: fn(&Row) -> &Vec<f64>| {
            let row = sweep.row(name)?;
            let fit = Fit::through(&sweep.points(values(row)));
            Some(fit.at(SIZES[1]).max(0.0))
        };
        let plain_mb = at(MEMORY, |row| &row.middle).unwrap_or(0.0);
        let busiest_mb = at(MEMORY, |row| &row.most).unwrap_or(0.0);
        let plain_percent = at(PROCESSOR, |row| &row.middle).unwrap_or(0.0);
        let verdict = match busiest_mb <= MEMORY_MB {
            true => "met",
            false => "**not met**",
        };
        let _ = writeln!(
            page,
            "| {} | {plain_mb:.1} | {busiest_mb:.0} | {verdict} | {plain_percent:.1} |",
            sweep.deployment
        );
    }
}

const INTRODUCTION: &str = "\
# Capacity

What each size costs, from sweeps of the users' bench: one day at 30, 100 and 300 VMs before ten times as many endpoints, and at 1,000 on
the first deployment. `tools/run-sweep` saves the tables in `docs/measured/`, and `cargo run -p borageshore_bench --bin capacity` writes this page
from them; a test compares the two, so edit neither by hand.

The size to design for (letter 1): 680 daemons before 12,000 replicas, 35,000 requests and 15 million tokens a second, 27 trainers with 2,048
samples a step, new weights on all replicas within 21 s, 25 availability zones; for control 2 % of a core, 256 MB and 12 KB a second a
daemon. The deployments name 675 VMs as the size to come. What is worked out for a size is a straight line through the sizes at which no
promise was broken; a large miss says that the growth is not a straight line. Times are in ms.
";

const ROLES: &str = "
## Roles and what carries them

| role | state | what it sends and reads | grows with | mechanism |
|---|---|---|---|---|
| every daemon: who lives | a record a daemon, 0.3 KB | 15 heartbeats a second to 3 watchers and as many from 3 others, 70 B each: 1 KB/s each way; the log's records of changes | changes, not daemons | watchers on a ring, suspicions in the log ([0011](decisions/0011-watching.md)) |
| every daemon: routes, endpoints, index, orders | what it serves by; an endpoint's entry takes 0.25 KB on the wire | a waiting read of each topic every 1.2 s, 4 a second, and each change | endpoints, in memory; changes | one fold a topic |
| every daemon: requests that crash endpoints | 4,096 requests at most, some 0.3 KB each: 1.3 MB; none on a calm day | a record of 150 B a crash that it saw; all read 40 a second of all daemons together, 6 KB/s, on the days with crashes; while the store is away 4 messages of 1 KB to peers every 300 ms | crashes, not daemons | records among those of daemons, claims in the log ([0012](decisions/0012-quarantine.md)) |
| every daemon: a start | the same | the newest record of each endpoint and daemon, 0.3 KB | endpoints and daemons | pages of 500 records |
| entry for callers | in-flight calls | a connection to each endpoint that it used lately | calls; its own connections to endpoints | two choices, ejection, a second endpoint beside a slow one |
| owner of steps, one for a service up to 600 slots, then a share of the trainers each | submissions, texts under way | items, a stream each; results and progress to the store | slots of the service | one dispatcher sees all that runs at an engine |
| every daemon: organisations and keys | 32 B and a name a key: 0.2 MB at 2,000 keys | nothing of its own: they come with the routes, whose waiting read confirms them every 1.2 s | keys, in memory; changes | digests, a view as old as its question |
| every daemon: usage | counts of four windows, an entry an organisation | a total at once where calls are rare, else one every 5 ms for each daemon that lives (3.4 s at 680), 200 appends a second of all | organisations asked for in the time between | totals that only rise |
| every daemon: true time | an offset | five peers asked every 10 s, 0.3 KB each | nothing | what most peers agree on |
| holder of the duties, one | all totals of 40 s, the reports of 40 s | waiting reads of the totals, one a partition; a record and a call a window | daemons times organisations | the orderer's announcements |
| orderer of weights, one | rounds | a report from each engine that loads; an order each | engines and versions | rounds by conditional append, a share of the engines a version |
| watcher of 3 others | when each was heard | see the first row; a suspicion a death | nothing | [`WatchTable`](../crates/borageshore_membership/src/watch.rs) |

## The store

All daemons together make 250 reads a second for records of their own that say nothing new, at any size, and 4 reads a second each that wait:
2,720 at 680 daemons, of 16,000 that the store takes. Texts under way are stored by all together with 6 MB a second at the most, the longest first: beyond some 1,100 busy slots a
successor goes on with a part of them only.
";

const LEFT: &str = "
## Furthest over its limit, and what comes next

1. **A start of 675 VMs and more.** Endpoints register as all daemons start; each daemon reads each registration, 2.5 MB for 10,000, and the records of
   all daemons, 0.4 MB. For 1,000 daemons that is 2.9 GB (worked out), 36 s of the 80 MB a second that the store reads for all, and callers come after
   14: see the first deployment at 1,000 VMs. It has no way back: from a queue of two seconds on the store refuses reads, each of five views asks again
   after 150 ms, 33,000 calls a second of 16,000 (worked out; 20,000 seen), and what it takes is given up after 1.9 s, before its turn. In a trial
   that waited longer and asked less often reads came through, too late for callers, and smaller deployments were back later after an outage. Next: a few
   daemons of each zone read for the others, told of each other by their settings; a read after a loss that does not wait.
2. **Samples of 27 trainers with 2,048 each.** Sweeps play two trainers of some 200 items. An owner holds the texts of its open steps: 40,690
   tokens a sample would be 4 KB of text a hundred tokens and gigabytes a step, against 256 MB. Next: daemons keep what they made, owners keep names.
3. **Weights on 12,000 replicas within 21 s.** One orderer asks each engine that loads; loads at once are a share of the engines. Next: an orderer for each
   service and zone. The weight store's rate is not given.
4. **Engines in a daemon that only forwards calls.** It keeps all entries, of 0.25 KB each on the wire: some
   3 MB at 12,000 (worked out).
5. **A change of the operator's record** is read whole by each daemon: at 0.25 KB a route 1,400 routes take 0.35 MB, for 680 daemons
   3 s of the 80 MB a second that the store reads for all (worked out).
";
