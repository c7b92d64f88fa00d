//! Builds a world from an example deployment and the parts of a script.

use masticlock_core::{
    config::{Change, Restriction},
    inventory::{Offer, Raw, RawRules},
    settings,
    time::{Span, Time},
};

use super::{
    Due, Part, Role, World,
    control::Control,
    entry::Entry,
    operator::stages,
    upstream::{Kind, Upstream},
};
use crate::script;

/// When operators import the inventory. A leader is elected by then.
const IMPORT: Time = Time::from_millis(3_000);
/// When upstreams start. The instances of a failure domain know each other by then.
const UPSTREAMS: Span = Span::from_secs(4);
/// The time at which a script's time 0 is.
pub const SETTLED: Time = Time::from_millis(8_000);

const DEPLOYMENTS: [(&str, &str, &str); 2] = [
    (
        "pindan-crown",
        include_str!("../../../examples/pindan-crown/inventory.json"),
        include_str!("../../../examples/pindan-crown/rules.json"),
    ),
    (
        "cascade-loomworks",
        include_str!("../../../examples/cascade-loomworks/inventory.json"),
        include_str!("../../../examples/cascade-loomworks/rules.json"),
    ),
];

/// A deployment or a part that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unknown {
    /// There is no such example deployment.
    #[error("unknown deployment {0}; known are pindan-crown and cascade-loomworks")]
    Deployment(String),
    /// There is no such part.
    #[error("unknown part {0}")]
    Part(String),
}

impl World {
    /// Starts the parts and imports the deployment's inventory and rules.
    ///
    /// # Errors
    ///
    /// Returns [`Unknown::Deployment`] for a name that is not an example.
    ///
    /// # Panics
    ///
    /// Never: tests of the core crate read the example files.
    pub fn deploy(&mut self, name: &str, parts: &[script::Part]) -> Result<(), Unknown> {
        let found = DEPLOYMENTS.iter().find(|d| d.0 == name);
        let (_, inventory, rules) = found.ok_or_else(|| Unknown::Deployment(name.to_owned()))?;
        let raw: Raw = settings::parse("inventory.json", inventory).expect("an example");
        let rules: RawRules = settings::parse("rules.json", rules).expect("an example");
        for part in parts {
            self.add(part);
        }
        let controls = self.control_ids();
        self.found(&controls);
        for id in 1..self.parts.len() {
            let delay = match self.parts[id].role {
                Role::Upstream(_) => UPSTREAMS,
                _ => Span::ZERO,
            };
            self.push(delay, Due::Start(id));
        }
        self.run_until(IMPORT);
        for change in [Change::Import(raw), Change::SetRules(rules)] {
            let command = self.command("setup", change);
            self.submit(command, controls[0]);
            self.run_until(self.now + Span::from_millis(500));
        }
        self.run_until(SETTLED);
        Ok(())
    }

    fn add(&mut self, part: &script::Part) {
        let kind = |offer, service, versions, warm, cold| {
            Role::Upstream(Box::new(Upstream::new(Kind {
                offer,
                service,
                versions,
                warm,
                cold,
            })))
        };
        let role = match &part.role {
            script::Role::Control => Role::Control(Box::new(Control::new())),
            script::Role::Entry => Role::Entry(Box::<Entry>::default()),
            script::Role::Engine { serves, warm, cold } => {
                kind(Offer::Engine, None, serves.clone(), *warm, *cold)
            }
            script::Role::Service { offers, warm } => kind(
                Offer::Service,
                Some(offers.clone()),
                Vec::new(),
                *warm,
                *warm,
            ),
        };
        self.parts.push(Part {
            name: part.name.clone(),
            domain: part.domain.clone(),
            up: false,
            boot: 0,
            role,
        });
    }
}

/// Returns the change of the configuration that an order asks for.
#[must_use]
pub fn change_of(order: &script::Order) -> Change {
    match order {
        script::Order::Withdraw(version) => {
            Change::Restrict(Restriction::Withdraw(version.clone()))
        }
        script::Order::TakeOut(domain) => Change::Restrict(Restriction::TakeOut(domain.clone())),
        script::Order::Return(domain) => Change::Allow(Restriction::TakeOut(domain.clone())),
        script::Order::RollOut { version, baseline } => Change::StartRollout {
            version: version.clone(),
            baseline: baseline.clone(),
            stages: stages(),
        },
        script::Order::Advance { version, from } => Change::AdvanceRollout {
            version: version.clone(),
            from: *from,
        },
        script::Order::RollBack(version) => Change::RollBack {
            version: version.clone(),
            reason: "halted by an operator".to_owned(),
        },
    }
}
