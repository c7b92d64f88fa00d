//! Commands that work on files and start nothing.

use std::path::Path;

use masticlock_core::inventory::{Inventory, Raw, RawRules, Rules};

use super::{
    Exit, Failure,
    args::Kind,
    print,
    settings::{Settings, parse},
};
use crate::{control, instance};

/// Checks a file of the given kind.
pub fn run(kind: Kind, file: &Path, json: bool) -> Result<Exit, Failure> {
    let notes = match kind {
        Kind::Inventory => {
            let raw: Raw = parse(file)?;
            Inventory::try_from(raw).map_err(|e| fault(file, &e))?;
            Vec::new()
        }
        Kind::Rules => {
            let raw: RawRules = parse(file)?;
            Rules::try_from(raw).map_err(|e| fault(file, &e))?;
            Vec::new()
        }
        Kind::Operator => {
            Settings::read(file)?;
            Vec::new()
        }
        Kind::Entry => {
            let raw: instance::File = parse(file)?;
            instance::Checked::try_from(raw).map_err(|e| fault(file, &e))?;
            Vec::new()
        }
        Kind::Control => control_settings(file)?.warnings(),
    };
    print::checked(file, &notes, json)
}

fn fault<E>(file: &Path, error: &E) -> Failure
where
    E: ToString,
{
    Failure::usage(format!("{}: {}", file.display(), error.to_string()))
}

fn control_settings(file: &Path) -> Result<control::Settings, Failure> {
    let raw: control::Raw = parse(file)?;
    control::Settings::try_from(raw).map_err(|e| fault(file, &e))
}

/// Prints what a recovery of a replica's folder may lose, and writes the new log on request.
pub fn recover(file: &Path, write: bool, json: bool) -> Result<Exit, Failure> {
    let settings = control_settings(file)?;
    let recovered = control::recover(&settings, write).map_err(|e| fault(&settings.folder, &e))?;
    print::recovered(&settings.folder, &recovered, write, json)
}
