"""Names of the sources that the traces use: each as it is called now and was called before.

Whoever renames one of these adds the new name in front; older revisions are then still played.
"""

from __future__ import annotations

import importlib
from typing import Any

# What is used -> where it may stand, as `module:name`.
PLACES: dict[str, tuple[str, ...]] = {
    "World": ("tests.world:World",),
    "LABELS": ("tests.world:LABELS",),
    "Controller": ("fallpulley.controller:Controller",),
    "OperatorRequest": ("fallpulley.effects:OperatorRequest",),
    "PeerMessage": ("fallpulley.effects:PeerMessage",),
}

# Attributes that are used -> the names that they may have.
ATTRIBUTES: dict[str, tuple[str, ...]] = {
    # of the class Controller
    "step": ("step",),
    # of World: time and parts
    "now": ("now",),
    "step_s": ("step_s",),
    "boot": ("boot",),
    "crash": ("crash",),
    "machine": ("machine",),
    "ask": ("ask",),
    "controllers": ("controllers",),
    "commands": ("commands",),
    "workers": ("workers",),
    "state": ("state",),
    "capacity": ("capacity",),
    "boots": ("boots",),
    # of World: what goes wrong
    "paused": ("paused",),
    "cut": ("cut",),
    "refused": ("refused",),
    "unanswered": ("unanswered",),
    "slow_s": ("slow_s",),
    "answers_lost": ("answers_lost",),
    "mute": ("mute",),
    "no_direct": ("no_direct",),
    "errors": ("errors",),
    "cloud_down": ("cloud_down",),
    "cloud_late": ("cloud_late",),
    "wall_ahead": ("wall_ahead",),
    "clock_rate": ("clock_rate",),
    "link": ("link",),
    # of World: what it knows
    "times": ("times",),
    "sent": ("sent",),
    "specs": ("specs",),
    # of a worker
    "hung": ("hung",),
    "recall_s": ("recall_s",),
    # of the state service
    "down": ("down",),
    "data": ("data",),
    "ledger": ("ledger",),
    "log": ("log",),
    "value_bytes": ("value_bytes",),
    "txn_ops": ("txn_ops",),
    "write_rps": ("write_rps",),
}


class MissingNameError(Exception):
    """None of the names of what is needed is there."""


def find(what: str) -> Any:
    """A class or value of the sources that are played."""
    for place in PLACES[what]:
        module, _, name = place.partition(":")
        try:
            return getattr(importlib.import_module(module), name)
        except (ModuleNotFoundError, AttributeError):
            continue
    raise MissingNameError(f"{what}: none of {PLACES[what]}")


def name_on(owner: object, attribute: str) -> str:
    """How this attribute is called in the sources that are played."""
    for name in ATTRIBUTES[attribute]:
        if hasattr(owner, name):
            return name
    raise MissingNameError(f"{attribute}: none of {ATTRIBUTES[attribute]} on {type(owner)}")


def read(owner: object, attribute: str) -> Any:
    return getattr(owner, name_on(owner, attribute))


def write(owner: object, attribute: str, value: object) -> None:
    setattr(owner, name_on(owner, attribute), value)
