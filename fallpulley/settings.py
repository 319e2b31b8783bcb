"""Checked settings: the file the platform hands over, and the operators' own beside it.

Names in the platform's file are its own; unknown fields are ignored. What is missing or
impossible ends the start with a line that names the field.
"""

from __future__ import annotations

import os
import tomllib
from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=100)]

OPERATORS_FILE = "fallpulley.toml"
# The deployment's own defaults: built into the deployed copy, or under deploy/ in a checkout.
_PROGRAM = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DEPLOYED_FILES = (
    os.path.join(_PROGRAM, OPERATORS_FILE),
    os.path.join(_PROGRAM, "deploy", OPERATORS_FILE),
)

# Of the machine's sockets: for users and workers, for other controllers and for calls to workers;
# the rest is for calls to the state service, the cloud and peers. Every machine of the fleet holds
# a connection to the controller that serves it, and only one controller may be left.
SERVE_SHARE, MESH_SHARE, CALL_SHARE = 0.8, 0.04, 0.11


class SettingsError(Exception):
    """The settings cannot be used; the message names the field."""


class PeerSettings(msgspec.Struct, frozen=True, rename={"controller_id": "label"}):
    controller_id: Name
    site: Name
    address: Name


class Endpoints(msgspec.Struct, frozen=True):
    cloud: Name
    state: Name


class Team(msgspec.Struct, frozen=True):
    """Guarantees and limits; a limit of 0 means none."""

    name: Name
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0

    @property
    def limited(self) -> bool:
        return self.cpus_max > 0 or self.gpus_max > 0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    kind: str
    job_class: str = ""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class FutureStateLimits(msgspec.Struct, frozen=True):
    """What the state service will allow from some moment after an upgrade on, unannounced."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


class StateLimits(msgspec.Struct, frozen=True, rename={"future": "next"}):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    future: FutureStateLimits | None = None

    def strictest(self) -> StateLimits:
        """The lesser of what holds now and what is to come, each by itself."""
        to_come = self.future
        if to_come is None:
            return self
        return StateLimits(
            min(self.rps, to_come.rps or self.rps),
            min(self.write_rps, to_come.write_rps or self.write_rps),
            min(self.value_kb, to_come.value_kb or self.value_kb),
            min(self.txn_ops, to_come.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    rps: Positive
    list_lag_s: NotNegative


class MachineLimits(msgspec.Struct, frozen=True):
    core_share: Positive = 1.0
    memory_mb: Positive = 256.0
    sockets: Annotated[int, Meta(ge=16)] = 1024


class Facts(msgspec.Struct, frozen=True):
    nodes: Annotated[int, Meta(ge=1)]
    zones: list[Name]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    skew_ms: NotNegative = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


class StandbySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[standby]`: followers keep a replica of each holder's decisions (docs/standby.md)."""

    enabled: bool = False
    # A holder sends what is new to its followers so often.
    batch_s: Annotated[float, Meta(ge=0.05, le=30)] = 0.5
    # With a standby, a controller's session is no longer than this, whatever `session_share` says.
    session_s: Annotated[float, Meta(ge=0.5, le=60)] = 2.5


class SharesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[shares]`: each controller's block has a share of the fleet (docs/shares.md)."""

    enabled: bool = False
    # An expression in CEL that gives weights; none: operators set them.
    policy: str = ""
    # The policy is looked at so often.
    policy_every_s: Annotated[float, Meta(ge=5, le=86_400)] = 30.0


class DutiesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[duties]`: renting, returning, reclaiming and cleaning up under tokens (docs/duties.md)."""

    enabled: bool = False


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' own settings, all optional. docs/operations.md explains each."""

    # Share of a worker's lease after which a controller that stopped renewing is replaced.
    session_share: Annotated[float, Meta(ge=0.1, le=1.0)] = 0.25
    # Queued and running work should drain within this many boot times of a machine.
    drain_boots: Annotated[float, Meta(gt=0, le=20)] = 1.3
    # An idle machine goes back after this many boot times.
    idle_boots: Annotated[float, Meta(ge=0, le=50)] = 0.5
    # A job that waited this many times its own estimate sorts before all shorter ones.
    age_bound: Annotated[float, Meta(gt=0)] = 6.0
    # When none of a job's tasks has run so long after its submission, the first ones go before
    # all other work: users are to see even the largest begin well within four minutes.
    begin_bound_s: Annotated[float, Meta(gt=0)] = 90.0
    # Machines never rented beyond this number (0: no bound of our own).
    machines_max: Annotated[int, Meta(ge=0)] = 0
    standby: StandbySettings = StandbySettings()
    shares: SharesSettings = SharesSettings()
    duties: DutiesSettings = DutiesSettings()


class Settings(msgspec.Struct, frozen=True, rename={"controller_id": "label", "peers": "seeds"}):
    controller_id: Name
    site: Name
    serve_on: Name
    mesh_addr: Name
    endpoints: Endpoints
    facts: Facts
    peers: list[PeerSettings] = []
    operators: Operators = Operators()


def split_address(address: str) -> tuple[str, int]:
    """`host:port` as its two parts; raises ValueError when it is neither."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    named = {
        "serve_on": settings.serve_on,
        "mesh_addr": settings.mesh_addr,
        "endpoints.cloud": settings.endpoints.cloud,
        "endpoints.state": settings.endpoints.state,
    }
    named |= {f"seeds[{i}].address": seed.address for i, seed in enumerate(settings.peers)}
    for field, address in named.items():
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from None
    labels = [settings.controller_id] + [seed.controller_id for seed in settings.peers]
    for label in labels:
        if "/" in label or any(c.isspace() for c in label):
            raise SettingsError(f"label: {label!r} holds a slash or a space")
    if len(set(labels)) != len(labels):
        raise SettingsError("seeds: a label stands twice")
    teams = [team.name for team in settings.facts.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError("facts.teams: a name stands twice")
    workers = settings.facts.workers
    if workers.report_s >= workers.lease_s:
        raise SettingsError("facts.workers.report_s: must be below facts.workers.lease_s")
    if workers.lease_s * 1.2 >= workers.cancel_s:
        raise SettingsError("facts.workers.cancel_s: leaves no time beyond facts.workers.lease_s")
    _check_shares(settings)


def _check_shares(settings: Settings) -> None:
    """An expression is tried on ordinary values, and only then loaded."""
    shares = settings.operators.shares
    if not shares.enabled or not shares.policy:
        return
    from fallpulley.shares.policy import PolicyError, check_expression

    labels = [settings.controller_id, *(seed.controller_id for seed in settings.peers)]
    try:
        check_expression(shares.policy, labels)
    except PolicyError as error:
        raise SettingsError(f"{OPERATORS_FILE}: shares.policy: {error}") from None


def _read(path: str) -> dict[str, object]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None


def _operators(path: str) -> dict[str, object]:
    """The operators' settings: those of the deployed copy, overridden field by field by the file
    beside the platform's."""
    own = os.path.join(os.path.dirname(os.path.abspath(path)), OPERATORS_FILE)
    merged: dict[str, object] = {}
    deployed = next((file for file in DEPLOYED_FILES if os.path.exists(file)), None)
    for file in (deployed, own):
        if file is None or not os.path.exists(file):
            continue
        try:
            table = _read(file)
            msgspec.convert(table, Operators)
        except msgspec.ValidationError as error:
            raise SettingsError(f"{file}: {error}") from None
        except OSError as error:
            raise SettingsError(f"{file}: {error.strerror}") from None
        for name, value in table.items():
            below = merged.get(name)
            if isinstance(value, dict) and isinstance(below, dict):
                merged[name] = below | value
            else:
                merged[name] = value
    return merged


def load(path: str) -> Settings:
    """Read and check the platform's file and the operators' ones, which may be absent."""
    try:
        table = _read(path)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    table["operators"] = _operators(path)
    try:
        settings = msgspec.convert(table, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from None
    _check(settings)
    return settings
