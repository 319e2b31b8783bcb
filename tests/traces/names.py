"""Names of the sources that the traces use, each with its present name and its former ones.

When you rename one of these in the sources, add the new name in front, so that older revisions can
still be played.
"""

from __future__ import annotations

import importlib
from typing import Any

# Class or value used -> where it may be defined, as `module:name`.
PLACES: dict[str, tuple[str, ...]] = {
    "SimulatedCluster": ("tests.simulated_cluster:SimulatedCluster", "tests.world:World"),
    "CONTROLLER_LABELS": ("tests.simulated_cluster:CONTROLLER_LABELS", "tests.world:LABELS"),
    "Controller": ("fallpulley.controller:Controller",),
    "OperatorRequest": ("fallpulley.effects:OperatorRequest",),
    "PeerMessage": ("fallpulley.effects:PeerMessage",),
}

# Attribute used -> the names that it may have.
ATTRIBUTES: dict[str, tuple[str, ...]] = {
    # attributes of Controller
    "step": ("step",),
    # attributes of SimulatedCluster: time and parts
    "now": ("now",),
    "step_s": ("step_s",),
    "start_controller": ("start_controller", "boot"),
    "crash": ("crash",),
    "add_machine": ("add_machine", "machine"),
    "send_request": ("send_request", "ask"),
    "controllers": ("controllers",),
    "commands": ("commands",),
    "workers": ("workers",),
    "state": ("state",),
    "capacity": ("capacity",),
    "controller_starts": ("controller_starts", "boots"),
    # attributes of SimulatedCluster: failures
    "paused_controllers": ("paused_controllers", "paused"),
    "partitions": ("partitions", "cut"),
    "refused_controllers": ("refused_controllers", "refused"),
    "unanswered_transactions": ("unanswered_transactions", "unanswered"),
    "state_delay_s": ("state_delay_s", "slow_s"),
    "response_loss_hosts": ("response_loss_hosts", "answers_lost"),
    "heartbeat_loss_hosts": ("heartbeat_loss_hosts", "mute"),
    "command_loss_hosts": ("command_loss_hosts", "no_direct"),
    "exit_reasons": ("exit_reasons", "errors"),
    "cloud_down": ("cloud_down",),
    "unanswered_cloud_actions": ("unanswered_cloud_actions", "cloud_late"),
    "wall_clock_offsets_s": ("wall_clock_offsets_s", "wall_ahead"),
    "clock_rates": ("clock_rates", "clock_rate"),
    "peer_message_delays": ("peer_message_delays", "link"),
    # attributes of SimulatedCluster: jobs and heartbeats
    "task_durations_s": ("task_durations_s", "times"),
    "sent_heartbeats": ("sent_heartbeats", "sent"),
    "submissions": ("submissions", "specs"),
    # attributes of a worker
    "hung": ("hung",),
    "preemption_notice_s": ("preemption_notice_s", "recall_s"),
    # attributes of the state service
    "down": ("down",),
    "entries": ("entries", "data"),
    "revision": ("revision", "ledger"),
    "log": ("log",),
    "value_bytes": ("value_bytes",),
    "txn_ops": ("txn_ops",),
    "write_rps": ("write_rps",),
}


class MissingNameError(Exception):
    """None of the known names of a class, value or attribute exists in the sources played."""


def find(what: str) -> Any:
    """Return a class or value of the sources that are played."""
    for place in PLACES[what]:
        module, _, name = place.partition(":")
        try:
            return getattr(importlib.import_module(module), name)
        except (ModuleNotFoundError, AttributeError):
            continue
    raise MissingNameError(f"{what}: none of {PLACES[what]}")


def name_on(owner: object, attribute: str) -> str:
    """Return the name of this attribute in the sources that are played."""
    for name in ATTRIBUTES[attribute]:
        if hasattr(owner, name):
            return name
    raise MissingNameError(f"{attribute}: none of {ATTRIBUTES[attribute]} on {type(owner)}")


def read(owner: object, attribute: str) -> Any:
    return getattr(owner, name_on(owner, attribute))


def write(owner: object, attribute: str, value: object) -> None:
    setattr(owner, name_on(owner, attribute), value)
