"""The command line: `fallpulley serve --config FILE`, `fallpulley check-config FILE`."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Sequence

from fallpulley import __version__
from fallpulley.settings import Settings, SettingsError, load, shortages

OK, FAILED, USAGE, BAD_SETTINGS = 0, 1, 2, 3
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="fallpulley",
        description="A cluster scheduler, run by every controller of a deployment.",
        epilog="Exit codes: 0 well, 1 failed, 2 wrong usage, 3 settings that cannot be used.",
    )
    parser.add_argument("--version", action="version", version=f"fallpulley {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run this controller until it is killed")
    serve.add_argument("--config", required=True, metavar="FILE", help="the platform's settings")
    check = commands.add_parser("check-config", help="check a settings file and say what it holds")
    check.add_argument("config", metavar="FILE", help="the platform's settings")
    return parser


def _set_up_log() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname).1s %(name)s %(message)s"
    )
    logging.logThreads = logging.logProcesses = False


def _describe(settings: Settings) -> str:
    facts = settings.facts
    return (
        f"ok label={settings.label} site={settings.site} nodes={facts.nodes}"
        f" zones={len(facts.zones)} teams={len(facts.teams)} objectives={len(facts.objectives)}"
    )


def main(arguments: Sequence[str] | None = None) -> int:
    options = _parser().parse_args(arguments)
    try:
        settings = load(options.config)
    except SettingsError as error:
        print(f"fallpulley: settings: {error}", file=sys.stderr)
        return BAD_SETTINGS
    lacking = shortages(settings)
    if options.command == "check-config":
        print(_describe(settings))
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
