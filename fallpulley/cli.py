"""The command line: the daemon, checks of its settings, and operators' commands."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Sequence

from fallpulley import __version__
from fallpulley.capacity import shortages, shortages_for
from fallpulley.exit_codes import BAD_SETTINGS, EXPLAINED, FAILED, OK
from fallpulley.settings import Settings, SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fallpulley",
        description="A cluster scheduler, run by every controller of a deployment.",
        epilog=EXPLAINED,
    )
    parser.add_argument("--version", action="version", version=f"fallpulley {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run this controller until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the platform's settings")
    check = commands.add_parser("check-config", help="check a settings file and say what it holds")
    check.add_argument("config", metavar="FILE", help="the platform's settings")
    check.add_argument(
        "--machines",
        type=_positive,
        metavar="N",
        help="also say what a fleet of N machines needs; else of machines_max, where it is set",
    )
    _add_shares(commands.add_parser("shares", help="show and change each controller's share"))
    return parser


def _positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("expected a number of machines above 0")
    return number


def _add_shares(parser: argparse.ArgumentParser) -> None:
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


def _set_up_log() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname).1s %(name)s %(message)s"
    )
    logging.logThreads = logging.logProcesses = False


def _describe(settings: Settings) -> str:
    facts = settings.facts
    return (
        f"ok label={settings.controller_id} site={settings.site} nodes={facts.nodes}"
        f" zones={len(facts.zones)} teams={len(facts.teams)} objectives={len(facts.objectives)}"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    options = _parser().parse_args(arguments)
    if options.command == "shares":
        from fallpulley.shares import command

        return command.run(options)
    try:
        settings = load(options.config)
    except SettingsError as error:
        print(f"fallpulley: settings: {error}", file=sys.stderr)
        return BAD_SETTINGS
    lacking = shortages(settings)
    if options.command == "check-config":
        print(_describe(settings))
        machines = options.machines or settings.operators.machines_max
        if machines:
            lacking += shortages_for(settings, machines)
        for shortage in lacking:
            print(f"fallpulley: warning: {shortage}", file=sys.stderr)
        return OK
    _set_up_log()
    for shortage in lacking:
        logging.getLogger(__name__).warning("settings %s", shortage)
    from fallpulley.serve import serve

    try:
        serve(settings)
    except ExceptionGroup as group:
        print(f"fallpulley: {group.exceptions[0]}", file=sys.stderr)
    return FAILED


def script() -> None:
    sys.exit(main())
