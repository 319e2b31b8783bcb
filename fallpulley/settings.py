"""Loads and checks the settings: the platform's file, and the operators' file beside it.

The platform defines the names in its file; unknown fields there are ignored. A missing or invalid
field raises `SettingsError`, which ends the process with a message that names the field.
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
# Number of changes (puts and deletes) in one transaction.
TransactionOperations = Annotated[int, Meta(ge=4)]

OPERATORS_FILE = "fallpulley.toml"
_INSTALLATION = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The deployment's defaults: the build copies them beside the package, a checkout has them under
# deploy/.
DEPLOYED_FILES = (
    os.path.join(_INSTALLATION, OPERATORS_FILE),
    os.path.join(_INSTALLATION, "deploy", OPERATORS_FILE),
)

# Shares of the controller's sockets: for connections of users and workers, for connections of other
# controllers and operators, and for calls to workers. The rest is for calls to the state service,
# the cloud and peers. The first is largest because each machine holds a connection to its
# controller, and one controller may have to serve the whole fleet.
PUBLIC_SOCKET_SHARE, MESH_SOCKET_SHARE, WORKER_CALL_SOCKET_SHARE = 0.8, 0.04, 0.11

# `cancel_s` has to exceed this many leases: the response window is what remains of it after a lease
# and some slack.
MIN_CANCEL_LEASES = 1.2


class SettingsError(Exception):
    """Raised for settings that are missing or invalid; the message names the file or the field."""


# -- the platform's file ---------------------------------------------------------------------


class PeerSettings(msgspec.Struct, frozen=True, rename={"controller_id": "label"}):
    """Another controller; `address` is the `host:port` of its mesh address."""

    controller_id: Name
    site: Name
    address: Name


class Endpoints(msgspec.Struct, frozen=True):
    """The `host:port` of the platform's services."""

    cloud: Name
    state: Name


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed and maximum processors and GPUs; a maximum of 0 means no limit."""

    name: Name
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0

    @property
    def limited(self) -> bool:
        """Whether the team has a maximum of processors or GPUs."""
        return self.cpus_max > 0 or self.gpus_max > 0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """An objective that the service is measured by.

    It influences the order in which jobs of its class are placed.
    """

    kind: str
    job_class: str = ""
    within_s: float | None = None  # seconds
    share: float | None = None
    times: float | None = None


class WorkerSettings(msgspec.Struct, frozen=True):
    """The intervals of the workers' protocol, in seconds."""

    report_s: Positive  # time between two heartbeats
    lease_s: Positive  # time without a response after which a worker stops its tasks
    cancel_s: Positive  # time within which a cancelled task has to end


class FutureStateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service that come into force some time after an upgrade.

    The settings announce the limits; nothing announces the time.
    Units are those of `StateLimits`; None means that the limit stays as it is.
    """

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: TransactionOperations | None = None


class StateLimits(msgspec.Struct, frozen=True, rename={"future": "next"}):
    """Limits of the state service, for all controllers together."""

    rps: Positive  # requests per second
    write_rps: Positive  # changes per second
    value_kb: Positive  # size of a value in KiB
    txn_ops: TransactionOperations  # changes in one transaction
    future: FutureStateLimits | None = None  # limits that will replace these

    def strictest(self) -> StateLimits:
        """Return, for each limit, the lower of the present and the future one."""
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
    """Limits of the cloud, for all controllers together."""

    rps: Positive  # requests per second
    list_lag_s: NotNegative  # seconds by which its machine list may be out of date


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources that a controller may use on the machine it runs on."""

    core_share: Positive = 1.0  # processor time, as a share of one core
    memory_mb: Positive = 256.0  # MiB
    sockets: Annotated[int, Meta(ge=16)] = 1024  # open sockets


class Facts(msgspec.Struct, frozen=True):
    """Facts about the deployment, as the platform states them."""

    nodes: Annotated[int, Meta(ge=1)]  # number of controllers
    zones: list[Name]
    workers: WorkerSettings
    state: StateLimits
    cloud: CloudLimits
    skew_ms: NotNegative = 0.0  # maximum difference between the clocks of two machines
    teams: list[Team] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()


# -- the operators' file ---------------------------------------------------------------------


class StandbySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[standby]`: followers keep a replica of each owner's decisions (docs/standby.md)."""

    enabled: bool = False
    # Seconds between two batches of decisions that an owner sends to its followers.
    batch_s: Annotated[float, Meta(ge=0.05, le=30)] = 0.5
    # Maximum duration of a controller's session in seconds while the standby is enabled, even if
    # `session_share` gives a longer one.
    session_s: Annotated[float, Meta(ge=0.5, le=60)] = 2.5


class SharesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[shares]`: each controller's shard has a share of the fleet (docs/shares.md)."""

    enabled: bool = False
    # CEL expression that computes the weights; if empty, operators set them.
    policy: str = ""
    # Seconds between two evaluations of the policy.
    policy_every_s: Annotated[float, Meta(ge=5, le=86_400)] = 30.0


class DutiesSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[duties]`: each kind of action on machines has one owner with a token (docs/duties.md)."""

    enabled: bool = False


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' settings, all optional. docs/operations.md explains each."""

    # Duration of a controller's session, as a share of a worker's lease: a controller that has not
    # renewed its session for so long is replaced.
    session_share: Annotated[float, Meta(ge=0.1, le=1.0)] = 0.25
    # Time within which queued and running work should complete, in boot times of a machine.
    drain_boots: Annotated[float, Meta(gt=0, le=20)] = 1.3
    # Time after which an idle machine is released, in boot times of that machine.
    idle_boots: Annotated[float, Meta(ge=0, le=50)] = 0.5
    # Waiting time, in multiples of its tasks' estimated run time, after which a job is placed
    # before all shorter ones.
    age_bound: Annotated[float, Meta(gt=0)] = 6.0
    # Seconds of waiting after which the first tasks of a job are placed before all other work, if
    # none of its tasks has completed: even the largest jobs should begin well within four minutes.
    begin_bound_s: Annotated[float, Meta(gt=0)] = 90.0
    # Maximum number of rented machines; 0 means no limit.
    machines_max: Annotated[int, Meta(ge=0)] = 0
    standby: StandbySettings = StandbySettings()
    shares: SharesSettings = SharesSettings()
    duties: DutiesSettings = DutiesSettings()


# -- both files ------------------------------------------------------------------------------


class Settings(msgspec.Struct, frozen=True, rename={"controller_id": "label", "peers": "seeds"}):
    """All settings of one controller. Addresses are `host:port`."""

    controller_id: Name
    site: Name
    serve_on: Name  # public address, for users and workers
    mesh_addr: Name  # mesh address, for other controllers and operators' commands
    endpoints: Endpoints
    facts: Facts
    peers: list[PeerSettings] = []
    operators: OperatorSettings = OperatorSettings()

    @property
    def controller_ids(self) -> list[str]:
        """The ids of all controllers of the deployment, this one first."""
        return [self.controller_id, *(peer.controller_id for peer in self.peers)]


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and port.

    Raises:
        ValueError: `address` is not of this form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not host:port: {address!r}")
    return host, int(port)


def load(path: str) -> Settings:
    """Read and check the platform's file and the operators' files, which may be absent.

    The checks that optional parts make of their own settings are not included.

    Raises:
        SettingsError: A file cannot be read, or a setting is missing or invalid.
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
    """Return the operators' settings as a table.

    Those of the deployed copy are overridden, field by field, by the file beside the platform's.
    """
    folder = os.path.dirname(os.path.abspath(platform_path))
    deployed = next((path for path in DEPLOYED_FILES if os.path.exists(path)), None)
    merged: dict[str, object] = {}
    for path in (deployed, os.path.join(folder, OPERATORS_FILE)):
        if path is not None and os.path.exists(path):
            _merge_table(merged, _read_operators_file(path))
    return merged


def _read_operators_file(path: str) -> dict[str, object]:
    """Read one operators' file and check it by itself, so that errors name the file."""
    try:
        table = _read_toml(path)
        msgspec.convert(table, OperatorSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    return table


def _merge_table(merged: dict[str, object], table: dict[str, object]) -> None:
    """Override the fields of `merged` by those of `table`, also within subtables (one level)."""
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


def _check_workers(workers: WorkerSettings) -> None:
    if workers.report_s >= workers.lease_s:
        raise SettingsError("facts.workers.report_s: must be below facts.workers.lease_s")
    if workers.lease_s * MIN_CANCEL_LEASES >= workers.cancel_s:
        raise SettingsError("facts.workers.cancel_s: leaves no time beyond facts.workers.lease_s")
