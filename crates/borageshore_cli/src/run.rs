//! Dispatch of the commands.

use std::{io::Write, path::Path, process::ExitCode};

use borageshore_api::Status;
use borageshore_daemon::{Config, Daemon};
use borageshore_diagnostics::install_logger;
use borageshore_gateway::{Gateway, GatewayConfig};
use borageshore_net::{return_large_buffers, run_event_loop};
use clap::{CommandFactory, Parser};
use eyre::WrapErr;

use crate::{
    arguments::{Arguments, Command, Connection},
    client::{CommandError, get, post, read_file},
    handover, settings, show, steps,
};

/// Parses the arguments of this process and runs the command.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.command {
        Command::Daemon { config } => daemon(&config),
        Command::Gateway { config } => gateway(&config),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Arguments::command(),
                "borageshore",
                &mut std::io::stdout(),
            );
            ExitCode::SUCCESS
        }
        command => finish(run_event_loop(run_command(&arguments.connection, command))),
    }
}

fn finish(outcome: Result<String, CommandError>) -> ExitCode {
    match outcome {
        Ok(text) => {
            let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run_command(connection: &Connection, command: Command) -> Result<String, CommandError> {
    match command {
        Command::CheckConfig { file } => {
            load_config(&file)?;
            Ok(show::render_message(
                connection,
                format!("{}: no faults", file.display()),
            ))
        }
        Command::Settings(command) => settings::run(connection, command).await,
        Command::Audit { hours } => {
            let entries = handover::changes(connection, hours).await?;
            Ok(show::render(connection, &entries, |entries| {
                show::audit(entries)
            }))
        }
        Command::Status => {
            let status: Status = get(connection, "/v1/admin/status").await?;
            Ok(show::render(connection, &status, show::status))
        }
        Command::Jobs => {
            let status: Status = get(connection, "/v1/admin/status").await?;
            Ok(show::render(connection, &status, show::jobs))
        }
        Command::Drain => {
            let answer: String = post(connection, "/v1/admin/drain", &()).await?;
            Ok(show::render_message(connection, answer))
        }
        Command::Steps { logs } => {
            let texts: Result<Vec<String>, CommandError> =
                logs.iter().map(|file| read_file(file)).collect();
            let steps = steps::parse_steps(&texts?.concat());
            Ok(show::render(connection, &steps, steps::table))
        }
        Command::Handover { hours } => handover::run(connection, hours).await,
        Command::Daemon { .. } | Command::Gateway { .. } | Command::Completions { .. } => {
            unreachable!("handled in `run`")
        }
    }
}

fn load_config(file: &Path) -> Result<Config, CommandError> {
    let text = read_file(file)?;
    Config::parse(&file.display().to_string(), &text)
        .map_err(|fault| CommandError::Files(vec![fault]))
}

fn daemon(file: &Path) -> ExitCode {
    let config = match load_config(file) {
        Ok(config) => config,
        Err(error) => return finish(Err(error)),
    };
    if let Err(error) = serve(config) {
        let _ = writeln!(std::io::stderr(), "{error:#}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn gateway(file: &Path) -> ExitCode {
    let served = read_file(file).and_then(|text| {
        let config = GatewayConfig::parse(&file.display().to_string(), &text)
            .map_err(|fault| CommandError::Files(vec![fault]))?;
        Ok(serve_platform(config, file))
    });
    match served {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            let _ = writeln!(std::io::stderr(), "{error:#}");
            ExitCode::FAILURE
        }
        Err(error) => finish(Err(error)),
    }
}

fn serve_platform(config: GatewayConfig, file: &Path) -> eyre::Result<()> {
    install_logger(&config.name).wrap_err("logging")?;
    return_large_buffers();
    run_event_loop(async {
        let gateway = Gateway::spawn(config, file.into()).wrap_err("an address cannot be bound")?;
        gateway.run_until_stopped().await.wrap_err("signals")?;
        Ok(())
    })
}

fn serve(config: Config) -> eyre::Result<()> {
    install_logger(&config.name).wrap_err("logging")?;
    run_event_loop(async {
        let daemon = Daemon::spawn(config).wrap_err("an address cannot be bound")?;
        daemon.run_until_stopped().await.wrap_err("signals")?;
        Ok(())
    })
}
