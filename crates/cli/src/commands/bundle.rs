//! `bundle`: creates, checks, signs, publishes and rolls back bundles.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::ids::BundleSequence;
use base::settings;
use bpaf::Bpaf;
use bundle::approval::Approval;
use bundle::check::check;
use bundle::record::content_operators;
use bundle::{Content, SecretKey};
use clients::log::LogClient;
use follow::{PublishOutcome, Publisher, Settings};
use serde_json::Value;

use crate::{BAD_INPUT, CommandResult};

/// Exit code when a concurrent version won, or the outcome is unknown.
const NOT_ACCEPTED: u8 = 1;

/// Template for a new bundle.
const TEMPLATE: &str = include_str!("bundle_template.json");

/// Create, check, sign and publish the bundle.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("bundle"), generate(bundle))]
pub(crate) struct BundleCommand {
    #[bpaf(external)]
    action: Action,
}

#[derive(Debug, Clone, Bpaf)]
enum Action {
    /// Print a template for a new bundle
    #[bpaf(command)]
    New,
    /// Check a bundle and print every error
    #[bpaf(command)]
    Check {
        /// The bundle
        #[bpaf(positional("BUNDLE"))]
        file: PathBuf,
    },
    /// Sign a bundle
    #[bpaf(command)]
    Sign {
        /// The operator's secret key
        #[bpaf(argument("FILE"))]
        key: PathBuf,
        /// Where to write the signed bundle
        #[bpaf(argument("FILE"))]
        out: PathBuf,
        /// The bundle
        #[bpaf(positional("BUNDLE"))]
        file: PathBuf,
    },
    /// Publish a signed bundle
    #[bpaf(command)]
    Publish {
        /// The operator's secret key
        #[bpaf(argument("FILE"))]
        key: PathBuf,
        /// JSON settings with the log and the trusted operators
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// The signed bundle
        #[bpaf(positional("SIGNED"))]
        file: PathBuf,
    },
    /// Publish the content of an earlier version as a new version
    #[bpaf(command)]
    Rollback {
        /// The operator's secret key
        #[bpaf(argument("FILE"))]
        key: PathBuf,
        /// JSON settings with the log and the trusted operators
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// The version to restore
        #[bpaf(argument("N"))]
        to: u64,
    },
    /// Print the bundle in force, or an earlier version
    #[bpaf(command)]
    Show {
        /// JSON settings with the log and the trusted operators
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// The version to print
        #[bpaf(argument("N"))]
        version: Option<u64>,
    },
    /// Print the changes from one bundle to another
    #[bpaf(command)]
    Diff {
        /// The bundle before
        #[bpaf(positional("FROM"))]
        from: PathBuf,
        /// The bundle after
        #[bpaf(positional("TO"))]
        to: PathBuf,
    },
}

impl BundleCommand {
    pub(crate) fn run(self) -> CommandResult {
        match self.action {
            Action::New => {
                print!("{TEMPLATE}");
                Ok(ExitCode::SUCCESS)
            }
            Action::Check { file } => Ok(print_findings(&settings::load(&file)?)),
            Action::Sign { key, out, file } => sign(&key, &out, &file),
            Action::Diff { from, to } => diff(&from, &to),
            Action::Publish {
                key,
                settings,
                file,
            } => run_async(async || publish(&key, &settings, &file).await),
            Action::Rollback { key, settings, to } => {
                run_async(async || rollback(&key, &settings, BundleSequence(to)).await)
            }
            Action::Show { settings, version } => {
                run_async(async || show(&settings, version.map(BundleSequence)).await)
            }
        }
    }
}

fn run_async(command: impl AsyncFnOnce() -> CommandResult) -> CommandResult {
    actix_rt::System::new().block_on(command())
}

/// Prints every error in a bundle; the exit code is 0 if there are none.
fn print_findings(json: &Value) -> ExitCode {
    let findings = check(json);
    for finding in &findings {
        println!("{finding}");
    }
    match findings.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(BAD_INPUT),
    }
}

fn sign(key: &Path, out: &Path, file: &Path) -> CommandResult {
    let json: Value = settings::load(file)?;
    if print_findings(&json) != ExitCode::SUCCESS {
        return Ok(ExitCode::from(BAD_INPUT));
    }
    let key: SecretKey = settings::load(key)?;
    let approval = Approval::new(json, &key)?;
    std::fs::write(out, serde_json::to_string_pretty(&approval)? + "\n")?;
    println!("signed {} by {}", approval.digest, approval.operator);
    Ok(ExitCode::SUCCESS)
}

fn diff(from: &Path, to: &Path) -> CommandResult {
    let from = Content::from_json(&settings::load(from)?)?;
    let to = Content::from_json(&settings::load(to)?)?;
    println!("{}", serde_json::to_string_pretty(&from.patch_to(&to))?);
    Ok(ExitCode::SUCCESS)
}

async fn publish(key: &Path, settings: &Path, file: &Path) -> CommandResult {
    let (key, approval): (SecretKey, Approval) = (settings::load(key)?, settings::load(file)?);
    let Some(mut publisher) = read_log(settings).await? else {
        return Ok(print_unknown());
    };
    // The signer must be an operator of the bundle in force. The operators
    // that the new bundle names could be the signer's own.
    let content = approval.content(publisher.acceptor().operators())?;
    if print_findings(&approval.bundle) != ExitCode::SUCCESS {
        return Ok(ExitCode::from(BAD_INPUT));
    }
    Ok(print_outcome(
        publisher.publish(&key, &content, None).await?,
    ))
}

async fn rollback(key: &Path, settings: &Path, to: BundleSequence) -> CommandResult {
    let key: SecretKey = settings::load(key)?;
    let Some(mut publisher) = read_log(settings).await? else {
        return Ok(print_unknown());
    };
    let Ok(content) = publisher.version_content(to).await else {
        return Ok(print_unknown());
    };
    let missing = format!(
        "step=rollback: the log has no version {to} (hint: publish its signed file instead)"
    );
    let content = content.ok_or(missing)?;
    Ok(print_outcome(
        publisher.publish(&key, &content, Some(to)).await?,
    ))
}

async fn show(settings: &Path, version: Option<BundleSequence>) -> CommandResult {
    let Some(publisher) = read_log(settings).await? else {
        return Ok(print_unknown());
    };
    for version in publisher.versions() {
        let restores = version
            .restores
            .map_or(String::new(), |n| format!(" restores={n}"));
        eprintln!(
            "version={} offset={} operator={}{restores}",
            version.sequence, version.accepted_offset, version.operator
        );
    }

    let sequence = version.unwrap_or(publisher.acceptor().sequence());
    let Ok(content) = publisher.version_content(sequence).await else {
        return Ok(print_unknown());
    };
    let content = content.ok_or_else(|| format!("step=show: the log has no version {sequence}"))?;
    // The operators that this content names. Only those of the version in
    // force may sign.
    eprintln!(
        "signers={}",
        content_operators(&content)
            .into_keys()
            .collect::<Vec<_>>()
            .join(",")
    );
    println!("{}", serde_json::to_string_pretty(&content.to_json())?);
    Ok(ExitCode::SUCCESS)
}

/// Reads the bundle log to its end; `None` if the log is unreachable.
async fn read_log(settings: &Path) -> Result<Option<Publisher>, Box<dyn std::error::Error>> {
    let settings: Settings = settings::load(settings)?;
    let mut publisher = Publisher::new(LogClient::new(settings.log), settings.trust);
    match publisher.read_to_end().await {
        Ok(()) => Ok(Some(publisher)),
        Err(e) => {
            eprintln!("pimentocart: {e}");
            Ok(None)
        }
    }
}

fn print_outcome(outcome: PublishOutcome) -> ExitCode {
    match outcome {
        PublishOutcome::Accepted(sequence) => {
            println!("accepted as {sequence}");
            ExitCode::SUCCESS
        }
        PublishOutcome::Conflict { winner, operator } => {
            println!("beaten by version {winner} of {operator}");
            ExitCode::from(NOT_ACCEPTED)
        }
        PublishOutcome::Refused(verdict) => {
            println!("refused: {verdict}");
            ExitCode::from(BAD_INPUT)
        }
        PublishOutcome::Unknown => print_unknown(),
    }
}

fn print_unknown() -> ExitCode {
    println!("unknown, look again");
    ExitCode::from(NOT_ACCEPTED)
}
