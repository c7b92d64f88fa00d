//! Settings of the command line.

use std::{fs, path::Path};

use masticlock_core::{plain, settings};

use super::Failure;

plain! {
    /// Where the processes are.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Addresses of the control replicas.
        pub control: Vec<String>,
        /// Addresses at which entry instances serve other instances.
        #[serde(default)]
        pub entries: Vec<String>,
        /// The cluster secret.
        pub secret: String,
    }
}

impl Settings {
    /// Reads a settings file.
    pub fn read(path: &Path) -> Result<Self, Failure> {
        let settings: Self = parse(path)?;
        if settings.control.is_empty() {
            return Err(Failure::usage(format!(
                "{}: control must name at least one control replica",
                path.display()
            )));
        }
        Ok(settings)
    }
}

/// Reads a file of JSON with comments.
pub fn parse<T>(path: &Path) -> Result<T, Failure>
where
    T: serde::de::DeserializeOwned,
{
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Failure::usage(format!("{name}: {e}")))?;
    settings::parse(&name, &text).map_err(Failure::usage)
}
