//! `keys`: operators' keys.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use bundle::SecretKey;

use crate::Outcome;

/// Only the operator may read the secret.
const PRIVATE: u32 = 0o600;

/// Make operators' keys.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(keys))]
pub(crate) struct Keys {
    #[bpaf(external)]
    key_action: KeyAction,
}

#[derive(Debug, Clone, Bpaf)]
enum KeyAction {
    /// Make a key and print its public part for the bundle's operators
    #[bpaf(command)]
    New {
        /// The operator's name
        #[bpaf(argument("NAME"))]
        operator: String,
        /// Where to write the secret key; never overwritten
        #[bpaf(argument("FILE"))]
        out: PathBuf,
    },
}

impl Keys {
    pub(crate) fn run(self) -> Outcome {
        let KeyAction::New { operator, out } = self.key_action;
        let key = SecretKey::random(&operator);

        // Overwriting a key would lock its operator out of the next bundle.
        let file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(PRIVATE)
            .open(&out);
        let mut file = file.map_err(|e| format!("step=write_key file={}: {e}", out.display()))?;
        writeln!(file, "{}", serde_json::to_string_pretty(&key)?)?;
        println!("{}", serde_json::json!({ operator: key.public_key }));
        Ok(ExitCode::SUCCESS)
    }
}
