//! The modelled deployment: true qualities, times and a stream of requests.

use masticlock_core::{
    config::{Change, Config},
    inventory::{Raw, RawRules},
    name,
    planner::baseline::GroundTruth,
    request::{Fingerprint, ModelRequest, Size},
    session::Session,
    settings,
    time::{Span, Time},
};

/// A deployment that can be modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Pindan Crown Systems.
    PindanCrown,
    /// Cascade Loomworks.
    CascadeLoomworks,
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "pindan-crown" => Ok(Self::PindanCrown),
            "cascade-loomworks" => Ok(Self::CascadeLoomworks),
            _ => Err("accepted are pindan-crown and cascade-loomworks".to_owned()),
        }
    }
}

impl std::fmt::Display for Deployment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::PindanCrown => "pindan-crown",
            Self::CascadeLoomworks => "cascade-loomworks",
        })
    }
}

/// Mean rating of a good answer; the others have [`BAD_RATING`].
const GOOD_RATING: f64 = 0.95;

/// Mean rating of a bad answer.
const BAD_RATING: f64 = 0.25;

/// Probability that an engine reports low confidence in a bad answer.
const UNSURE_IF_BAD: f64 = 0.6;

/// Probability that an engine reports low confidence in a good answer.
const UNSURE_IF_GOOD: f64 = 0.12;

/// Quality that a version loses on requests on which another was unsure.
const HARD_LOSS: f64 = 0.04;

/// Deviation of true quality from the stated prior, by task.
const TASK_SPREAD: f64 = 0.03;

/// Deviation of true quality within a task, by size.
const SIZE_SPREAD: f64 = 0.015;

/// Share of requests that belong to a session.
const SESSION_SHARE: f64 = 0.2;

/// Mean number of requests of a session.
const SESSION_LENGTH: f64 = 5.0;

/// Share of answers that are rated.
pub const RATING_SHARE: f64 = 0.2;

/// Mean time from an answer to its rating.
pub const RATING_DELAY: Span = Span::from_secs(15);

/// Returns a number from 0 to 1 that is fixed by its arguments (`SplitMix64`, Steele et al., 2014).
#[expect(clippy::cast_precision_loss)]
pub fn draw(seed: u64, index: usize, salt: u64) -> f64 {
    let mut bits = (seed ^ (index as u64).wrapping_mul(0xD1B5_4A32_D192_ED03))
        .wrapping_add(salt.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    for _ in 0..2 {
        bits = bits.wrapping_add(0x9E37_79B9_7F4A_7C15);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^= bits >> 31;
    }
    (bits >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns a draw of a normal distribution with mean 0 and deviation 1.
fn normal(seed: u64, index: usize, salt: u64) -> f64 {
    // The sum of twelve uniform numbers has variance 1.
    (0..12)
        .map(|part| draw(seed, index, salt * 64 + part))
        .sum::<f64>()
        - 6.0
}

/// A kind of request in the stream.
#[derive(Debug)]
struct Kind {
    task: &'static str,
    share: f64,
    prompt: (f64, f64),
    answer: (f64, f64),
}

const PINDAN: [Kind; 3] = [
    Kind {
        task: "season-plan",
        share: 0.15,
        prompt: (800.0, 4_000.0),
        answer: (300.0, 900.0),
    },
    Kind {
        task: "palm-question",
        share: 0.45,
        prompt: (80.0, 900.0),
        answer: (80.0, 320.0),
    },
    Kind {
        task: "photo-tag",
        share: 0.4,
        prompt: (200.0, 1_200.0),
        answer: (10.0, 50.0),
    },
];

const LOOMWORKS: [Kind; 3] = [
    Kind {
        task: "run-report",
        share: 0.2,
        prompt: (600.0, 3_000.0),
        answer: (150.0, 400.0),
    },
    Kind {
        task: "dyehouse-question",
        share: 0.4,
        prompt: (80.0, 900.0),
        answer: (60.0, 200.0),
    },
    Kind {
        task: "shipment-tag",
        share: 0.4,
        prompt: (100.0, 600.0),
        answer: (10.0, 40.0),
    },
];

/// Slots of an engine that serves a model, and how many engines of a failure domain do.
const ENGINES: [(&str, u32, u32); 8] = [
    ("advisor-3b", 2, 24),
    ("advisor-14b", 2, 16),
    ("advisor-70b", 1, 12),
    ("roster-8b", 1, 16),
    ("weave-4b", 1, 24),
    ("weave-12b", 2, 16),
    ("weave-48b", 1, 12),
    ("mill-app-8b", 1, 16),
];

/// How a version differs from the good one that it claims to be.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Quality lost.
    pub loss: f64,
    /// Share of requests that fail.
    pub errors: f64,
    /// Factor on times, less 1.
    pub delay: f64,
}

/// A request of the stream.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Time,
    /// The request, without its session's version.
    pub ask: ModelRequest,
    /// Index of the failure domain that it enters.
    pub domain: usize,
    /// Tokens that the answer will have.
    pub tokens: f64,
    /// Index of its session.
    pub session: Option<usize>,
}

/// A modelled deployment.
#[derive(Clone, Debug)]
pub struct World {
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of all draws.
    pub seed: u64,
    /// The configuration at the start.
    pub config: Config,
    /// True quality by version, task and size.
    qualities: Vec<f64>,
    kinds: &'static [Kind; 3],
}

impl World {
    /// Returns the model of a deployment.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let (inventory, rules, kinds) = match deployment {
            Deployment::PindanCrown => (
                include_str!("../../../examples/pindan-crown/inventory.json"),
                include_str!("../../../examples/pindan-crown/rules.json"),
                &PINDAN,
            ),
            Deployment::CascadeLoomworks => (
                include_str!("../../../examples/cascade-loomworks/inventory.json"),
                include_str!("../../../examples/cascade-loomworks/rules.json"),
                &LOOMWORKS,
            ),
        };
        let raw: Raw = settings::parse("inventory.json", inventory).expect("the example parses");
        let rules: RawRules = settings::parse("rules.json", rules).expect("the example parses");
        let config = Config::default()
            .changed(&Change::Import(raw))
            .and_then(|c| c.changed(&Change::SetRules(rules)))
            .expect("the example is valid");
        let qualities = qualities(&config, seed);
        Self {
            deployment,
            seed,
            config,
            qualities,
            kinds,
        }
    }

    /// Returns the index of a version.
    pub fn version(&self, name: &name::Version) -> usize {
        let versions = &self.config.inventory.versions;
        (versions.binary_search_by(|v| v.name.cmp(name))).expect("a version of the inventory")
    }

    /// Returns the true quality of a version that runs alone.
    pub fn quality(&self, version: usize, ask: &ModelRequest) -> f64 {
        let task = self
            .config
            .rules
            .tasks
            .iter()
            .position(|r| r.task == ask.task);
        let at = (version * 3 + task.expect("a task of the rules")) * 3 + size(ask.size());
        self.qualities[at]
    }

    /// Returns slots of a model's engines in each failure domain.
    pub fn slots(model: &name::Model) -> u32 {
        let found = ENGINES.iter().find(|e| e.0 == model.as_str());
        found.map_or(0, |(_, engines, slots)| engines * slots)
    }

    /// Returns a stream of requests at a rate per second.
    pub fn stream(&self, count: usize, rate: f64) -> Vec<Arrival> {
        let mut at = 0.0;
        let mut sessions: Vec<Vec<usize>> = vec![Vec::new(); self.config.inventory.accounts.len()];
        let mut opened = 0;
        (0..count)
            .map(|index| {
                at += -self.draw(index, 1).ln() / rate * 1_000.0;
                let account = self.account(index);
                let open = &mut sessions[account];
                let session = self.session(index, open, &mut opened);
                self.arrival(index, at, account, session)
            })
            .collect()
    }

    fn session(&self, index: usize, open: &mut Vec<usize>, opened: &mut usize) -> Option<usize> {
        if self.draw(index, 2) >= SESSION_SHARE {
            return None;
        }
        let place = self.draw(index, 3);
        if open.is_empty() || self.draw(index, 4) < 1.0 / SESSION_LENGTH {
            *opened += 1;
            open.push(*opened);
            return Some(*opened);
        }
        #[expect(clippy::cast_precision_loss, clippy::cast_sign_loss)]
        #[expect(clippy::cast_possible_truncation)]
        let at = (place * open.len() as f64) as usize;
        let session = open[at];
        if self.draw(index, 5) < 1.0 / SESSION_LENGTH {
            open.swap_remove(at);
        }
        Some(session)
    }

    fn account(&self, index: usize) -> usize {
        let accounts = &self.config.inventory.accounts;
        let total: f64 = accounts.iter().map(|a| f64::from(a.rate)).sum();
        let mut left = self.draw(index, 6) * total;
        for (at, account) in accounts.iter().enumerate() {
            left -= f64::from(account.rate);
            if left < 0.0 {
                return at;
            }
        }
        accounts.len() - 1
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[expect(clippy::cast_precision_loss)]
    fn arrival(&self, index: usize, at: f64, account: usize, session: Option<usize>) -> Arrival {
        let mut left = self.draw(index, 7);
        let kind = self.kinds.iter().find(|k| {
            left -= k.share;
            left < 0.0
        });
        let kind = kind.unwrap_or(&self.kinds[2]);
        let between = |(low, high): (f64, f64), place: f64| low + (high - low) * place * place;
        let at = Time::from_millis(at as u64);
        let account = self.config.inventory.accounts[account].name.clone();
        let task = name::Task::try_from(kind.task).expect("a valid name");
        let rule = self.config.rules.task(&task).expect("a task of the rules");
        let id = format!("r{index}");
        let ask = ModelRequest {
            fingerprint: Fingerprint::of(&account, id.as_bytes()),
            account,
            id: name::Request::try_from(id).expect("a valid name"),
            task,
            model: None,
            quality: rule.quality,
            deadline: at + Span::from_millis(rule.deadline_ms),
            prompt_tokens: between(kind.prompt, self.draw(index, 8)) as u32,
            answer_tokens: kind.answer.1 as u32,
            session: session.map(|s| Session {
                id: format!("s{s}"),
                version: None,
            }),
        };
        let domains = self.config.inventory.domains.len();
        Arrival {
            at,
            ask,
            domain: (self.draw(index, 10) * domains as f64) as usize,
            tokens: between(kind.answer, self.draw(index, 9)),
            session,
        }
    }

    /// Returns a draw that belongs to a request.
    pub fn draw(&self, index: usize, salt: u64) -> f64 {
        draw(self.seed, index, salt)
    }
}

/// Probability that an answer is good.
fn good_share(quality: f64) -> f64 {
    ((quality - BAD_RATING) / (GOOD_RATING - BAD_RATING)).clamp(0.0, 1.0)
}

/// An answer of a version.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Mean rating that it gets.
    pub quality: f64,
    /// Whether the engine is sure of it.
    pub sure: bool,
}

/// Returns the answer of a version with that quality, from two draws.
pub fn answer(quality: f64, good: f64, sure: f64) -> Answer {
    let is_good = good < good_share(quality);
    let unsure = if is_good {
        UNSURE_IF_GOOD
    } else {
        UNSURE_IF_BAD
    };
    Answer {
        quality: if is_good { GOOD_RATING } else { BAD_RATING },
        sure: sure >= unsure,
    }
}

/// Returns a rating of an answer on a scale of four levels, from three draws.
pub fn rating(quality: f64, draws: [f64; 3]) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let stars = draws.iter().filter(|d| **d < quality).count() as f64;
    stars / 3.0
}

/// Returns the true quality of a version as second step.
pub fn second_quality(quality: f64) -> f64 {
    (quality - HARD_LOSS).max(BAD_RATING)
}

/// Returns mean quality and probability of escalation of a plan from its steps' qualities.
pub fn plan_quality(steps: &[f64]) -> (f64, f64) {
    let [first, second] = steps else {
        return (steps[0], 0.0);
    };
    let good = good_share(*first);
    let kept_good = good * (1.0 - UNSURE_IF_GOOD);
    let kept_bad = (1.0 - good) * (1.0 - UNSURE_IF_BAD);
    let escalation = 1.0 - kept_good - kept_bad;
    let kept = kept_good * GOOD_RATING + kept_bad * BAD_RATING;
    (kept + escalation * second_quality(*second), escalation)
}

fn qualities(config: &Config, seed: u64) -> Vec<f64> {
    let mut all = Vec::new();
    for (at, version) in config.inventory.versions.iter().enumerate() {
        // Versions of one model are equally good unless a fault is modelled.
        let model = config
            .inventory
            .versions
            .iter()
            .position(|v| v.model == version.model);
        let model = model.unwrap_or(at);
        for task in 0..config.rules.tasks.len() {
            let by_task = TASK_SPREAD * normal(seed, model * 16 + task, 101);
            for size in 0..3 {
                let by_size = SIZE_SPREAD * normal(seed, (model * 16 + task) * 4 + size, 102);
                all.push((version.prior_quality + by_task + by_size).clamp(BAD_RATING, 0.95));
            }
        }
    }
    all
}

const fn size(size: Size) -> usize {
    match size {
        Size::Small => 0,
        Size::Medium => 1,
        Size::Large => 2,
    }
}

impl GroundTruth for World {
    fn outcome(&self, steps: &[name::Version], ask: &ModelRequest) -> (f64, f64) {
        let qualities: Vec<_> = steps
            .iter()
            .map(|v| self.quality(self.version(v), ask))
            .collect();
        plan_quality(&qualities)
    }
}
