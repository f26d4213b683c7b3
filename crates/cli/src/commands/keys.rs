//! `keys`: generates the signing keys of operators.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use bundle::SecretKey;

use crate::CommandResult;

/// File mode of a secret key: only its owner may read it.
const OWNER_ONLY_MODE: u32 = 0o600;

/// Generate the signing keys of operators.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(keys))]
pub(crate) struct Keys {
    #[bpaf(external)]
    key_action: KeyAction,
}

#[derive(Debug, Clone, Bpaf)]
enum KeyAction {
    /// Generate a key and print its public part for the operators of the bundle
    #[bpaf(command)]
    New {
        /// Name of the operator
        #[bpaf(argument("NAME"))]
        operator: String,
        /// Where to write the secret key; never overwritten
        #[bpaf(argument("FILE"))]
        out: PathBuf,
    },
}

impl Keys {
    pub(crate) fn run(self) -> CommandResult {
        let KeyAction::New { operator, out } = self.key_action;
        let key = SecretKey::random(&operator);

        // `create_new` fails if the file exists: overwriting a key that the
        // bundle trusts would stop its operator from signing the next bundle.
        let file = OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(OWNER_ONLY_MODE)
            .open(&out);
        let mut file = file.map_err(|e| format!("step=write_key file={}: {e}", out.display()))?;
        writeln!(file, "{}", serde_json::to_string_pretty(&key)?)?;
        println!("{}", serde_json::json!({ operator: key.public_key }));
        Ok(ExitCode::SUCCESS)
    }
}
