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
# Conditions and changes in one transaction.
TransactionOperations = Annotated[int, Meta(ge=4)]

OPERATORS_FILE = "fallpulley.toml"
_INSTALLATION = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The deployment's own defaults: built into the deployed copy, or under deploy/ in a checkout.
DEPLOYED_FILES = (
    os.path.join(_INSTALLATION, OPERATORS_FILE),
    os.path.join(_INSTALLATION, "deploy", OPERATORS_FILE),
)

# Of the machine's sockets: for users and workers, for other controllers and for calls to workers;
# the rest is for calls to the state service, the cloud and peers. Every machine of the fleet holds
# a connection to the controller that serves it, and only one controller may be left.
SERVE_SHARE, MESH_SHARE, CALL_SHARE = 0.8, 0.04, 0.11

# A cancellation has to leave at least this many lease times, or no time remains beyond a lease.
MIN_CANCEL_LEASES = 1.2


class SettingsError(Exception):
    """The settings cannot be used; the message names the field."""


# -- the platform's file ---------------------------------------------------------------------


class PeerSettings(msgspec.Struct, frozen=True, rename={"controller_id": "label"}):
    """Another controller, and the `host:port` of its mesh address."""

    controller_id: Name
    site: Name
    address: Name


class Endpoints(msgspec.Struct, frozen=True):
    """The `host:port` of the platform's services."""

    cloud: Name
    state: Name


class Team(msgspec.Struct, frozen=True):
    """A team's guarantees and limits in processors and GPUs; a limit of 0 means none."""

    name: Name
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0

    @property
    def limited(self) -> bool:
        """The team may not use more than some number of processors or GPUs."""
        return self.cpus_max > 0 or self.gpus_max > 0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """What the service is measured by; jobs of a class are ordered by it. Times in seconds."""

    kind: str
    job_class: str = ""
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    """The workers' protocol; all in seconds."""

    report_s: Positive  # between two heartbeats
    lease_s: Positive  # a worker without a response for so long stops its tasks
    cancel_s: Positive  # a cancelled task has ended so long after the cancellation


class FutureStateLimits(msgspec.Struct, frozen=True):
    """What the state service will allow from some moment after an upgrade on, unannounced.

    Units are those of `StateLimits`; null: as now.
    """

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: TransactionOperations | None = None


class StateLimits(msgspec.Struct, frozen=True, rename={"future": "next"}):
    """What the state service allows all controllers together."""

    rps: Positive  # requests a second
    write_rps: Positive  # changes a second
    value_kb: Positive  # KiB in one value
    txn_ops: TransactionOperations  # conditions and changes in one transaction
    future: FutureStateLimits | None = None

    def strictest(self) -> StateLimits:
        """The lesser of what holds now and what is to come, each by itself."""
        future = self.future
        if future is None:
            return self
        return StateLimits(
            min(self.rps, future.rps or self.rps),
            min(self.write_rps, future.write_rps or self.write_rps),
            min(self.value_kb, future.value_kb or self.value_kb),
            min(self.txn_ops, future.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """What the cloud allows all controllers together."""

    rps: Positive  # requests a second
    list_lag_s: NotNegative  # its list of machines may be out of date by so much


class MachineLimits(msgspec.Struct, frozen=True):
    """What the machine that a controller runs on allows it."""

    core_share: Positive = 1.0  # of one processor
    memory_mb: Positive = 256.0
    sockets: Annotated[int, Meta(ge=16)] = 1024


class Facts(msgspec.Struct, frozen=True):
    """What the platform says about the deployment."""

    nodes: Annotated[int, Meta(ge=1)]  # controllers
    zones: list[Name]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    skew_ms: NotNegative = 0.0  # between the clocks of two machines
    teams: list[Team] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


# -- the operators' file ---------------------------------------------------------------------


class StandbySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[standby]`: followers keep a replica of each owner's decisions (docs/standby.md)."""

    enabled: bool = False
    # An owner sends new decisions to its followers each time so many seconds have passed.
    batch_s: Annotated[float, Meta(ge=0.05, le=30)] = 0.5
    # With a standby, a controller's session is no longer than so many seconds, whatever
    # `session_share` says.
    session_s: Annotated[float, Meta(ge=0.5, le=60)] = 2.5


class SharesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[shares]`: each controller's shard has a share of the fleet (docs/shares.md)."""

    enabled: bool = False
    # An expression in CEL that gives weights; none: operators set them.
    policy: str = ""
    # Seconds between two evaluations of the policy.
    policy_every_s: Annotated[float, Meta(ge=5, le=86_400)] = 30.0


class DutiesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[duties]`: actions on machines have one owner each, by a token (docs/duties.md)."""

    enabled: bool = False


class Operators(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' own settings, all optional. docs/operations.md explains each."""

    # Share of a worker's lease after which a controller that stopped renewing is replaced.
    session_share: Annotated[float, Meta(ge=0.1, le=1.0)] = 0.25
    # Queued and running work should drain within this many boot times of a machine.
    drain_boots: Annotated[float, Meta(gt=0, le=20)] = 1.3
    # An idle machine is released after this many boot times.
    idle_boots: Annotated[float, Meta(ge=0, le=50)] = 0.5
    # A job that waited this many times its own estimate sorts before all shorter ones.
    age_bound: Annotated[float, Meta(gt=0)] = 6.0
    # When none of a job's tasks has run so many seconds after its submission, the first ones go
    # before all other work: users are to see even the largest begin well within four minutes.
    begin_bound_s: Annotated[float, Meta(gt=0)] = 90.0
    # No more than so many machines are rented at a time (0: no limit of the operators').
    machines_max: Annotated[int, Meta(ge=0)] = 0
    standby: StandbySettings = StandbySettings()
    shares: SharesSettings = SharesSettings()
    duties: DutiesSettings = DutiesSettings()


# -- both files ------------------------------------------------------------------------------


class Settings(msgspec.Struct, frozen=True, rename={"controller_id": "label", "peers": "seeds"}):
    """All settings of one controller; addresses are `host:port`."""

    controller_id: Name
    site: Name
    serve_on: Name  # users and workers reach the controller here
    mesh_addr: Name  # other controllers and operators' commands reach it here
    endpoints: Endpoints
    facts: Facts
    peers: list[PeerSettings] = []
    operators: Operators = Operators()

    @property
    def controller_ids(self) -> list[str]:
        """All controllers of the deployment, this one first."""
        return [self.controller_id, *(peer.controller_id for peer in self.peers)]


def split_address(address: str) -> tuple[str, int]:
    """`host:port` as its two parts; raises ValueError when it is neither."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)


def load(path: str) -> Settings:
    """Read and check the platform's file and the operators' ones, which may be absent.

    Raises `SettingsError`. What an optional part checks of its own settings is not included.
    """
    try:
        table = _read_toml(path)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    table["operators"] = _read_operators(path)
    try:
        settings = msgspec.convert(table, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from None
    _check_addresses(settings)
    _check_names(settings)
    _check_workers(settings.facts.workers)
    return settings


def _read_toml(path: str) -> dict[str, object]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None


def _read_operators(platform_path: str) -> dict[str, object]:
    """The operators' settings: those of the deployed copy, overridden field by field by the file
    beside the platform's."""
    folder = os.path.dirname(os.path.abspath(platform_path))
    deployed = next((path for path in DEPLOYED_FILES if os.path.exists(path)), None)
    merged: dict[str, object] = {}
    for path in (deployed, os.path.join(folder, OPERATORS_FILE)):
        if path is not None and os.path.exists(path):
            _merge_table(merged, _read_operators_file(path))
    return merged


def _read_operators_file(path: str) -> dict[str, object]:
    """One file, checked by itself so that an error names it."""
    try:
        table = _read_toml(path)
        msgspec.convert(table, Operators)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    return table


def _merge_table(merged: dict[str, object], table: dict[str, object]) -> None:
    """Override fields by those of `table`; within a table of fields too."""
    for name, value in table.items():
        overridden = merged.get(name)
        if isinstance(value, dict) and isinstance(overridden, dict):
            merged[name] = overridden | value
        else:
            merged[name] = value


def _check_addresses(settings: Settings) -> None:
    addresses = {
        "serve_on": settings.serve_on,
        "mesh_addr": settings.mesh_addr,
        "endpoints.cloud": settings.endpoints.cloud,
        "endpoints.state": settings.endpoints.state,
    }
    addresses |= {f"seeds[{i}].address": peer.address for i, peer in enumerate(settings.peers)}
    for field, address in addresses.items():
        try:
            split_address(address)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from None


def _check_names(settings: Settings) -> None:
    controller_ids = settings.controller_ids
    for name in controller_ids:
        if "/" in name or any(character.isspace() for character in name):
            raise SettingsError(f"label: {name!r} holds a slash or a space")
    if len(set(controller_ids)) != len(controller_ids):
        raise SettingsError("seeds: a label stands twice")
    teams = [team.name for team in settings.facts.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError("facts.teams: a name stands twice")


def _check_workers(workers: Workers) -> None:
    if workers.report_s >= workers.lease_s:
        raise SettingsError("facts.workers.report_s: must be below facts.workers.lease_s")
    if workers.lease_s * MIN_CANCEL_LEASES >= workers.cancel_s:
        raise SettingsError("facts.workers.cancel_s: leaves no time beyond facts.workers.lease_s")
