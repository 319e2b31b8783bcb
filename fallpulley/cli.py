"""The command line: the daemon, checks of its settings, and operators' commands.

A command is added in `COMMANDS`, an exit code in `fallpulley.exit_codes`.
"""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Callable, Sequence
from typing import NamedTuple

from fallpulley import __version__
from fallpulley.capacity import shortages, shortages_for
from fallpulley.exit_codes import HELP_TEXT, ExitCode
from fallpulley.settings import Settings, SettingsError, load

log = logging.getLogger(__name__)

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
LOG_FORMAT = "%(levelname).1s %(name)s %(message)s"


def load_settings(path: str) -> Settings:
    """Load the settings, and have the optional parts that are enabled check theirs.

    Raises `SettingsError`.
    """
    settings = load(path)
    if settings.operators.shares.enabled:
        from fallpulley.shares.policy import check_settings

        check_settings(settings)
    return settings


# -- serve ---------------------------------------------------------------------------------------


def _add_serve_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--config", required=True, metavar="FILE", help="the platform's settings")


def _run_serve(options: argparse.Namespace) -> ExitCode:
    settings = load_settings(options.config)
    _set_up_log()
    for shortage in shortages(settings):
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
    parser.add_argument("config", metavar="FILE", help="the platform's settings")
    parser.add_argument(
        "--machines",
        type=_positive,
        metavar="N",
        help="also say what a fleet of N machines needs; else of machines_max, where it is set",
    )


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("expected a number of machines above 0")
    return number


def _run_check(options: argparse.Namespace) -> ExitCode:
    settings = load_settings(options.config)
    lacking = shortages(settings)
    print(_describe(settings))
    machines = options.machines or settings.operators.machines_max
    if machines:
        lacking += shortages_for(settings, machines)
    for shortage in lacking:
        print(f"fallpulley: warning: {shortage}", file=sys.stderr)
    return ExitCode.OK


def _describe(settings: Settings) -> str:
    facts = settings.facts
    return (
        f"ok label={settings.controller_id} site={settings.site} nodes={facts.nodes}"
        f" zones={len(facts.zones)} teams={len(facts.teams)} objectives={len(facts.objectives)}"
    )


# -- shares --------------------------------------------------------------------------------------


def _add_shares_arguments(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(dest="shares_command", required=True, metavar="COMMAND")
    show = commands.add_parser("show", help="show the shares and how far blocks are from them")
    change = commands.add_parser("set", help="replace the whole table of shares")
    for command in (show, change):
        command.add_argument(
            "--controller",
            required=True,
            action="append",
            metavar="HOST:PORT",
            help="a controller's mesh address; given several times, the first that answers",
        )
        command.add_argument("--json", action="store_true", help="print JSON")
    change.add_argument("shares", nargs="+", metavar="LABEL=WEIGHT[:FLOOR[:CEILING]]")
    change.add_argument("--team", action="append", default=[], metavar="TEAM=LABEL")
    change.add_argument("--expect", type=int, metavar="REVISION", help="only if it is this one")
    change.add_argument("--operation", metavar="NAME", help="a repeat with the same name is one")
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
        "check a settings file and say what it holds",
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
    """Carry out the command; `arguments` default to those of the process."""
    options = _build_parser().parse_args(arguments)
    run: Callable[[argparse.Namespace], ExitCode] = options.run
    try:
        return run(options)
    except SettingsError as error:
        print(f"fallpulley: settings: {error}", file=sys.stderr)
        return ExitCode.BAD_SETTINGS


def script() -> None:
    """The entry point of the installed command."""
    sys.exit(main())
