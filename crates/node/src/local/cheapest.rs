use masticlock_core::{
    config::Standing,
    error, inventory,
    policy::{Considered, Plan, Planner, Verdict, View},
    request,
};

/// Plans one allowed stable version of the lowest cost whose prior quality
/// meets the target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cheapest;

impl Cheapest {
    fn plan_of(ask: &request::Ask, version: &inventory::Version) -> Plan {
        let tokens = f64::from(ask.answer_tokens);
        let cost = |tokens: u32, price: u64| {
            f64::from(tokens) * f64::from(u32::try_from(price).unwrap_or(u32::MAX)) / 1_000.0
        };
        let first = u32::try_from(version.prior_first_ms).unwrap_or(u32::MAX);
        Plan {
            steps: vec![version.name.clone()],
            cost: cost(ask.prompt_tokens, version.prompt_cost)
                + cost(ask.answer_tokens, version.answer_cost),
            quality: version.prior_quality,
            millis: f64::from(first) + tokens * version.prior_token_ms,
            explores: false,
        }
    }

    fn may_use(ask: &request::Ask, view: &View<'_>, version: &inventory::Version) -> bool {
        let named = ask.model.as_ref().is_none_or(|m| *m == version.model);
        let standing = view.config.standing(&version.name);
        let bound = ask.session.as_ref().and_then(|s| s.version.as_ref());
        let in_session = bound == Some(&version.name);
        let usable = match standing {
            Standing::Stable => true,
            Standing::RollingOut(_) => in_session && !view.cut_off,
            Standing::Idle | Standing::Withdrawn => false,
        };
        named && usable && view.config.is_allowed(&ask.account, &version.name)
    }
}

impl Planner for Cheapest {
    fn plan(
        &mut self,
        ask: &request::Ask,
        view: &View<'_>,
    ) -> Result<(Plan, Vec<Considered>), error::Error> {
        let versions = view.config.inventory.versions.iter();
        let allowed: Vec<_> = versions
            .filter(|version| Self::may_use(ask, view, version))
            .collect();
        if allowed.is_empty() {
            return Err(error::Error::new(
                error::Kind::Forbidden,
                "the client account may use no stable version of the model",
            ));
        }
        let bound = ask.session.as_ref().and_then(|s| s.version.as_ref());
        if let Some(version) = allowed.iter().find(|v| Some(&v.name) == bound) {
            return Ok((Self::plan_of(ask, version), Vec::new()));
        }
        let mut considered: Vec<_> = allowed
            .into_iter()
            .map(|version| {
                let plan = Self::plan_of(ask, version);
                let verdict = if plan.quality < ask.quality {
                    Verdict::Quality
                } else if view.supply.room(&version.name).total == 0 {
                    Verdict::Full
                } else {
                    Verdict::Cost
                };
                Considered { plan, verdict }
            })
            .collect();
        let best = considered
            .iter_mut()
            .filter(|c| c.verdict == Verdict::Cost)
            .min_by(|a, b| a.plan.cost.total_cmp(&b.plan.cost));
        if let Some(best) = best {
            best.verdict = Verdict::Chosen;
            return Ok((best.plan.clone(), considered));
        }
        if considered.iter().any(|c| c.verdict == Verdict::Full) {
            let message = "no upstream serves a version that meets the target";
            return Err(error::Error::new(error::Kind::NoUpstream, message).retry_after(1_000));
        }
        Err(error::Error::new(
            error::Kind::QualityUnreachable,
            "no allowed version meets the quality target",
        ))
    }
}
