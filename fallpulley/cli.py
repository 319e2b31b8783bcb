"""The command line: the daemon, the check of its settings, and operators' commands.

New commands are added to `COMMANDS`, new exit codes to `fallpulley.exit_codes`.
"""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fallpulley import __version__
from fallpulley.capacity import find_fleet_shortages, find_shortages
from fallpulley.exit_codes import HELP_TEXT, ExitCode
from fallpulley.settings import Settings, SettingsError, load

log = logging.getLogger(__name__)

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
LOG_FORMAT = "%(levelname).1s %(name)s %(message)s"


def load_settings(path: str) -> Settings:
    """Load the settings, including the checks of enabled optional parts.

    Raises:
        SettingsError: The settings are missing or invalid.
    """
    settings = load(path)
    if settings.operators.shares.enabled:
        from fallpulley.shares.policy import check_settings

        check_settings(settings)
    return settings


# -- serve ---------------------------------------------------------------------------------------


def _add_serve_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--config", required=True, metavar="FILE", help="settings file of the platform"
    )


def _run_serve(options: argparse.Namespace) -> ExitCode:
    settings = load_settings(options.config)
    _set_up_log()
    for shortage in find_shortages(settings):
        log.warning("settings %s", shortage)
    from fallpulley.serve import serve

    try:
        serve(settings)
    except ExceptionGroup as group:
        print(f"fallpulley: {group.exceptions[0]}", file=sys.stderr)
    return ExitCode.FAILED


def _set_up_log() -> None:
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(stream=sys.stderr, level=level, format=LOG_FORMAT)
    logging.logThreads = logging.logProcesses = False


# -- check-config --------------------------------------------------------------------------------


def _add_check_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("config", metavar="FILE", help="settings file of the platform")
    parser.add_argument(
        "--machines",
        type=_machine_count,
        metavar="N",
        help="also check the capacity for a fleet of N machines (default: machines_max, if set)",
    )


def _machine_count(text: str) -> int:
    """Parse the value of `--machines`; argparse names this function in its error messages."""
    count = int(text)
    if count < 1:
        raise argparse.ArgumentTypeError("expected a number of machines above 0")
    return count


def _run_check(options: argparse.Namespace) -> ExitCode:
    settings = load_settings(options.config)
    shortages = find_shortages(settings)
    print(_format_summary(settings))
    machines = options.machines or settings.operators.machines_max
    if machines:
        shortages += find_fleet_shortages(settings, machines)
    for shortage in shortages:
        print(f"fallpulley: warning: {shortage}", file=sys.stderr)
    return ExitCode.OK


def _format_summary(settings: Settings) -> str:
    facts = settings.facts
    return (
        f"ok label={settings.controller_id} site={settings.site} nodes={facts.nodes}"
        f" zones={len(facts.zones)} teams={len(facts.teams)} objectives={len(facts.objectives)}"
    )


# -- shares --------------------------------------------------------------------------------------


def _add_shares_arguments(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest="shares_command", required=True, metavar="COMMAND")
    show = commands.add_parser("show", help="show the shares and how far shards are from them")
    change = commands.add_parser("set", help="replace the whole table of shares")
    for command in (show, change):
        command.add_argument(
            "--controller",
            required=True,
            action="append",
            metavar="HOST:PORT",
            help="mesh address of a controller; if repeated, the first that responds is used",
        )
        command.add_argument("--json", action="store_true", help="print JSON")
    change.add_argument("shares", nargs="+", metavar="LABEL=WEIGHT[:FLOOR[:CEILING]]")
    change.add_argument("--team", action="append", default=[], metavar="TEAM=LABEL")
    change.add_argument(
        "--expect", type=int, metavar="REVISION", help="only if the table has this revision"
    )
    change.add_argument(
        "--operation", metavar="NAME", help="a repeat with the same name has no effect"
    )
    change.add_argument("--wait", type=float, default=0.0, metavar="SECONDS")


def _run_shares(options: argparse.Namespace) -> ExitCode:
    from fallpulley.shares import command

    return command.run(options)


# -- all commands --------------------------------------------------------------------------------


class Command(NamedTuple):
    """A command of the command line."""

    name: str
    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], ExitCode]


COMMANDS = (
    Command("serve", "run this controller until it is killed", _add_serve_arguments, _run_serve),
    Command(
        "check-config",
        "check a settings file and print a summary",
        _add_check_arguments,
        _run_check,
    ),
    Command(
        "shares", "show and change each controller's share", _add_shares_arguments, _run_shares
    ),
)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fallpulley",
        description="A cluster scheduler, run by every controller of a deployment.",
        epilog=HELP_TEXT,
    )
    parser.add_argument("--version", action="version", version=f"fallpulley {__version__}")
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in COMMANDS:
        subparser = subparsers.add_parser(command.name, help=command.help)
        command.add_arguments(subparser)
        subparser.set_defaults(run=command.run)
    return parser


def main(arguments: Sequence[str] | None = None) -> ExitCode:
    """Run a command and return its exit code; `arguments` default to those of the process."""
    options = _build_parser().parse_args(arguments)
    run: Callable[[argparse.Namespace], ExitCode] = options.run
    try:
        return run(options)
    except SettingsError as error:
        print(f"fallpulley: settings: {error}", file=sys.stderr)
        return ExitCode.BAD_SETTINGS


def script() -> None:
    """Run the command line; the entry point of the installed command."""
    sys.exit(main())
