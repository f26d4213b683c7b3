//! `bundle`: declaring, checking, signing and rolling out.

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
use follow::{PublishOutcome as Told, Publisher, Settings};
use serde_json::Value;

use crate::{BAD_INPUT, Outcome};

/// Exit code when another version won, or nobody can tell.
const NOT_ACCEPTED: u8 = 1;

/// A bundle to start from.
const TEMPLATE: &str = include_str!("bundle_template.json");

/// Declare, check, sign and roll out the bundle.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("bundle"), generate(bundle))]
pub(crate) struct BundleCommand {
    #[bpaf(external)]
    action: Action,
}

#[derive(Debug, Clone, Bpaf)]
enum Action {
    /// Print a bundle to start from
    #[bpaf(command)]
    New,
    /// Print every fault of a bundle
    #[bpaf(command)]
    Check {
        /// The bundle
        #[bpaf(positional("BUNDLE"))]
        file: PathBuf,
    },
    /// Sign a bundle off
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
    /// Roll a signed bundle out
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
    /// Roll back to an earlier version, as a new version with its content
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
    /// Print what changes from one bundle to another
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
    pub(crate) fn run(self) -> Outcome {
        match self.action {
            Action::New => {
                print!("{TEMPLATE}");
                Ok(ExitCode::SUCCESS)
            }
            Action::Check { file } => Ok(report(&settings::load(&file)?)),
            Action::Sign { key, out, file } => sign(&key, &out, &file),
            Action::Diff { from, to } => diff(&from, &to),
            Action::Publish {
                key,
                settings,
                file,
            } => with_log(async || publish(&key, &settings, &file).await),
            Action::Rollback { key, settings, to } => {
                with_log(async || rollback(&key, &settings, BundleSequence(to)).await)
            }
            Action::Show { settings, version } => {
                with_log(async || show(&settings, version.map(BundleSequence)).await)
            }
        }
    }
}

fn with_log(work: impl AsyncFnOnce() -> Outcome) -> Outcome {
    actix_rt::System::new().block_on(work())
}

/// Prints every fault of a bundle.
fn report(json: &Value) -> ExitCode {
    let findings = check(json);
    for finding in &findings {
        println!("{finding}");
    }
    match findings.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(BAD_INPUT),
    }
}

fn sign(key: &Path, out: &Path, file: &Path) -> Outcome {
    let json: Value = settings::load(file)?;
    if report(&json) != ExitCode::SUCCESS {
        return Ok(ExitCode::from(BAD_INPUT));
    }
    let key: SecretKey = settings::load(key)?;
    let approval = Approval::new(json, &key)?;
    std::fs::write(out, serde_json::to_string_pretty(&approval)? + "\n")?;
    println!("signed {} by {}", approval.digest, approval.operator);
    Ok(ExitCode::SUCCESS)
}

fn diff(from: &Path, to: &Path) -> Outcome {
    let from = Content::from_json(&settings::load(from)?)?;
    let to = Content::from_json(&settings::load(to)?)?;
    println!("{}", serde_json::to_string_pretty(&from.patch_to(&to))?);
    Ok(ExitCode::SUCCESS)
}

async fn publish(key: &Path, settings: &Path, file: &Path) -> Outcome {
    let (key, approval): (SecretKey, Approval) = (settings::load(key)?, settings::load(file)?);
    let Some(mut publisher) = read(settings).await? else {
        return Ok(unknown());
    };
    // Checked against those who may sign now, not those whom the new bundle
    // names itself.
    let content = approval.content(publisher.acceptor().operators())?;
    if report(&approval.bundle) != ExitCode::SUCCESS {
        return Ok(ExitCode::from(BAD_INPUT));
    }
    Ok(tell(publisher.publish(&key, &content, None).await?))
}

async fn rollback(key: &Path, settings: &Path, to: BundleSequence) -> Outcome {
    let key: SecretKey = settings::load(key)?;
    let Some(mut publisher) = read(settings).await? else {
        return Ok(unknown());
    };
    let Ok(content) = publisher.version_content(to).await else {
        return Ok(unknown());
    };
    let missing = format!(
        "step=rollback: the log has no version {to} (hint: publish its signed file instead)"
    );
    let content = content.ok_or(missing)?;
    Ok(tell(publisher.publish(&key, &content, Some(to)).await?))
}

async fn show(settings: &Path, version: Option<BundleSequence>) -> Outcome {
    let Some(publisher) = read(settings).await? else {
        return Ok(unknown());
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
        return Ok(unknown());
    };
    let content = content.ok_or_else(|| format!("step=show: the log has no version {sequence}"))?;
    // An operator that the content names may still not sign: only those of
    // the version in force may.
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

/// Reads the log; `None` when it does not answer.
async fn read(settings: &Path) -> Result<Option<Publisher>, Box<dyn std::error::Error>> {
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

fn tell(told: Told) -> ExitCode {
    match told {
        Told::Accepted(sequence) => {
            println!("accepted as {sequence}");
            ExitCode::SUCCESS
        }
        Told::Conflict { winner, operator } => {
            println!("beaten by version {winner} of {operator}");
            ExitCode::from(NOT_ACCEPTED)
        }
        Told::Refused(verdict) => {
            println!("refused: {verdict}");
            ExitCode::from(BAD_INPUT)
        }
        Told::Unknown => unknown(),
    }
}

fn unknown() -> ExitCode {
    println!("unknown, look again");
    ExitCode::from(NOT_ACCEPTED)
}
