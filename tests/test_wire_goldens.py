"""Every message and stored record, byte for byte, against `data/wire_goldens.json`.

The bytes were recorded from the code itself (`recorded_by` in the data tells the commits), some
from the version in production. Each test decodes one golden with the current type, compares the
fields' values by position, and encodes them again if the code encodes that kind of message at all.
Types and fields may therefore be renamed freely: only the table `KINDS` names them, and a field
that gets another field's name on the wire, or another position, fails a test.

A golden that the current code reads but would write in another form has `decode_only`. One that
must be refused has `refused` in place of `values`: the reason given by the decoder, which is part
of the response to users and operators, or an empty text if the decoder gives none. Compressed
values were recorded with the libraries of requirements.txt and Python's own zlib; another build of
these may compress to other bytes, but the goldens of the uncompressed contents stay valid.

Not detected: two fields of the same type that exchange places in a struct encoded as an array. Its
bytes contain no names and stay the same.

Structs that are never encoded or decoded, and therefore have no goldens of their own:

- `effects`: all; they pass between the core and the network of one process.
- `controller.wiring`, `controller_access`, `capacity`, `timing`, `heartbeats`, `scheduling`,
  `placement` and `wire`: all.
- `fleet.demand_group`, `fleet.sizing`: all.
- `jobs`: `job_index.JobEntry`, all in `open_job_state` and `retry_state`,
  `pipelines.DependencyNode`, `Urgency`,
  `PipelineChanges`.
- `shared_records`: `shard_change.RecordLimits`, `ShardChange`, `RecordUpdate`,
  `pending_changes.PendingChanges`, `writer._WriteState`. `ShardRecord`, `ShardHeader`,
  `MachinePage` and `MachineEntry` are what shard records are decoded into; `_StoredShard`,
  `_StoredPage`, `_Group`, `_Run` and `_RunGroup` stand in the bytes, and have goldens too.
- `shares`: `policy.PolicyInput` (passed to an expression by names in the code),
  `table.Deployment`, `targets.Move`, `reconciler.Targets`.
- `standby`: `failover.ExpectedTasks`, `stream.StreamLimits`, `FollowerPosition`,
  `replica.Replica`, `follower.SnapshotAssembly`, `FollowedShard`.
- `state`: `client._QueuedRequest`, `transactions.WriteResult`. `Change` and `Write` become the
  body of a transaction.
- `workers`: `heartbeat_changes.HeartbeatChanges`, `machine.TaskRun`, all in `machine_state`.
"""

from __future__ import annotations

import base64
import json
import pathlib
import tempfile
import tomllib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import mock

import msgspec
import pytest

from fallpulley import settings
from fallpulley.cli import load_settings as load_checked_settings
from fallpulley.cloud import messages as cloud
from fallpulley.duties import messages as duties
from fallpulley.jobs import messages as jobs
from fallpulley.jobs import stored_progress
from fallpulley.membership.session import SessionLease
from fallpulley.mesh import messages as mesh
from fallpulley.shared_records import machine_encoding, shard_record
from fallpulley.shared_records import messages as records
from fallpulley.shares import messages as shares
from fallpulley.standby import entries, replica
from fallpulley.standby import messages as standby
from fallpulley.state import client, transactions
from fallpulley.state import messages as state
from fallpulley.workers import messages as workers


class Kind(NamedTuple):
    """A kind of message: the type of its decoded value, and how it is decoded and encoded."""

    type: type[Any]
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes] | None  # None if the code only decodes it


# -- decoders and encoders of the kinds ----------------------------------------------------------


def decoded_and_encoded(struct: type[Any]) -> Kind:
    """Return the kind for the JSON of a struct that the code decodes and encodes."""
    return Kind(struct, msgspec.json.Decoder(struct).decode, msgspec.json.encode)


def decoded_only(struct: type[Any]) -> Kind:
    """Return the kind for the JSON of a struct that the code only decodes."""
    return Kind(struct, msgspec.json.Decoder(struct).decode, None)


def one_of(struct: type[Any], decode: Callable[[bytes], Any]) -> Kind:
    """Return the kind for a tagged struct, decoded by the decoder of its union."""
    return Kind(struct, decode, msgspec.json.encode)


def compact(value: Any) -> str:
    """Return a value as JSON in the form that the code writes."""
    return json.dumps(value, ensure_ascii=False, separators=(",", ":"))


def decode_transaction(body: bytes) -> list[Any]:
    """Return a transaction as arguments of a write: conditions, and changes by position."""
    transaction = json.loads(body)
    conditions = {condition["k"]: condition["stamp"] for condition in transaction["if"]}
    changes = []
    for entry in transaction["then"]:
        value = compact(entry["v"]) if "set" in entry else None
        changes.append([entry.get("set") or entry["drop"], value, entry.get("tenure")])
    return [conditions, changes]


def encode_transaction(write: list[Any]) -> bytes:
    """Return the body that the client of the state service sends for a write."""
    conditions, changes = write
    calls: list[Any] = []
    sender = client.StateClient("state:1", 1000.0, 1000.0, 16, calls.append)
    encoded = [transactions.Change(k, v and v.encode(), tenure) for k, v, tenure in changes]
    sender.write(transactions.Write(conditions, encoded, transactions.ignore_result))
    sender.send_queued(0.0)
    (call,) = calls
    _, method, path, body, *_ = msgspec.structs.astuple(call)
    assert (method, path) == ("POST", "/txn")
    assert isinstance(body, bytes)
    return body


def encode_lease_request(lease: dict[str, int]) -> bytes:
    """Return the body with which a session requests its lease."""
    bodies: list[bytes] = []

    def read(path: str, done: object, priority: object, method: str, body: bytes, *_: Any) -> None:
        assert (method, path) == ("POST", "/leases")
        bodies.append(body)

    context: Any = SimpleNamespace(
        controller_id="node-0",
        now=0.0,
        timing=SimpleNamespace(session_s=lease["life_ms"] / 1000),
        state_client=SimpleNamespace(request=read),
    )
    watched: Any = SimpleNamespace(ready=True)
    SessionLease(context, watched).tick()
    return bodies[0]


def encode_shard(format_number: int) -> Callable[[shard_record.ShardHeader], bytes]:
    """Return an encoder of a shard's record in one of its formats."""

    def encode(header: shard_record.ShardHeader) -> bytes:
        record, versions = msgspec.structs.astuple(header)
        *fields, _ = msgspec.structs.astuple(record)
        parts = {
            number: shard_record.MachinePage(version, {}) for number, version in versions.items()
        }
        whole = shard_record.ShardRecord(*[*fields, parts])
        return whole.encode(format_number > 1, 16 * 1024)

    return encode


def decode_payload(shape: Any) -> Callable[[bytes], Any]:
    """Return a decoder of the compressed payloads between an owner and its followers."""

    def decode(body: bytes) -> Any:
        plain = standby.unpack(body, standby.checksum_of(body))
        return msgspec.json.decode(plain, type=shape)

    return decode


def load_settings(body: bytes) -> settings.Settings:
    """Load the platform's settings and, after a separating line, the operators'.

    Those of the deployed copy are left out, since they may change at any time.
    """
    platform, _, operators = body.decode().partition("# -- operators\n")
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "settings.toml"
        path.write_text(platform, encoding="utf-8")
        (path.parent / settings.OPERATORS_FILE).write_text(operators, encoding="utf-8")
        try:
            with mock.patch.object(settings, "DEPLOYED_FILES", ()):
                return load_checked_settings(str(path))
        except settings.SettingsError as error:
            raise settings.SettingsError(str(error).replace(f"{directory}/", "")) from None


def load_operators(body: bytes) -> settings.OperatorSettings:
    """Load the operators' settings alone, without those of the deployed copy."""
    return msgspec.convert(tomllib.loads(body.decode()), settings.OperatorSettings)


decode_entry = msgspec.json.Decoder(entries.Entry).decode

# -- the table of kinds, the only place that names types -----------------------------------------

KINDS: dict[str, Kind] = {
    # Users.
    "submission": Kind(jobs.Submission, jobs.parse_submission, None),
    "job named by a submission": Kind(str, jobs.decode_job_id, None),
    "stage": decoded_and_encoded(jobs.JobStatus),
    # Workers.
    "report": Kind(workers.Heartbeat, workers.parse_heartbeat, None),
    "orders": decoded_and_encoded(workers.HeartbeatResponse),
    "direct": decoded_and_encoded(workers.DirectCommand),
    "foreman": decoded_and_encoded(workers.Redirect),
    # Cloud.
    "catalog": decoded_and_encoded(cloud.Catalog),
    "rental request": decoded_and_encoded(cloud.RentalRequest),
    "rental answer": decoded_only(cloud.RentalResponse),
    "release": decoded_and_encoded(cloud.ReleaseRequest),
    "machine list": decoded_only(cloud.MachineList),
    # State service.
    "lease request": Kind(dict, json.loads, encode_lease_request),
    "lease grant": decoded_only(records.LeaseGrant),
    "transaction": Kind(list, decode_transaction, encode_transaction),
    "transaction answer": decoded_only(transactions.TransactionResponse),
    "page": decoded_only(state.Page),
    "changes": decoded_only(state.Events),
    "progress page": decoded_only(stored_progress.ProgressPage),
    "progress pair": decoded_only(stored_progress.ProgressItem),
    # Stored records.
    "session": decoded_and_encoded(records.Session),
    "format mark": decoded_and_encoded(records.FormatMarker),
    "team home": decoded_and_encoded(records.TeamShard),
    "retired": decoded_and_encoded(records.ReleaseRecord),
    "job record": decoded_and_encoded(jobs.JobRecord),
    "progress": decoded_and_encoded(jobs.Progress),
    "block, format 1": Kind(
        shard_record.ShardHeader, shard_record.decode_shard_header, encode_shard(1)
    ),
    "block, format 2": Kind(
        shard_record.ShardHeader, shard_record.decode_shard_header, encode_shard(2)
    ),
    "block, format 3": Kind(
        shard_record.ShardHeader, shard_record.decode_shard_header, encode_shard(3)
    ),
    "block part": Kind(
        shard_record.MachinePage, shard_record.decode_page, shard_record.encode_page
    ),
    "block, outside": decoded_and_encoded(shard_record._StoredShard),
    "block part, outside": decoded_and_encoded(shard_record._StoredPage),
    "machines by groups": Kind(dict, machine_encoding.unpack_groups, machine_encoding.pack_groups),
    "machines by runs": Kind(dict, machine_encoding.unpack_runs, machine_encoding.pack_runs),
    "group of machines": decoded_and_encoded(machine_encoding._Group),
    "runs of machines": decoded_and_encoded(machine_encoding._RunGroup),
    "duty": decoded_and_encoded(duties.DutyRecord),
    "intent": decoded_and_encoded(duties.Intent),
    "share table": decoded_and_encoded(shares.ShareTable),
    # Between controllers.
    "heartbeat": one_of(mesh.PeerHeartbeat, mesh.decode_peer_message),
    "called off": one_of(mesh.Cancellations, mesh.decode_peer_message),
    "rental refusals": one_of(mesh.RentalRefusals, mesh.decode_peer_message),
    "log batch": Kind(standby.LogBatch, standby.decode, standby.encode),
    "snapshot part": Kind(standby.SnapshotPart, standby.decode, standby.encode),
    "acknowledgement": Kind(standby.Acknowledgement, standby.decode, standby.encode),
    "replaced": Kind(standby.OwnerReplaced, standby.decode, standby.encode),
    "checksum": Kind(int, standby.checksum_of, None),
    "entries payload": Kind(list, decode_payload(list[entries.Entry]), standby.pack),
    "snapshot payload": Kind(replica.Snapshot, decode_payload(replica.Snapshot), standby.pack),
    "snapshot": decoded_and_encoded(replica.Snapshot),
    "entry started": one_of(entries.TaskStarted, decode_entry),
    "entry stopped": one_of(entries.TaskStopped, decode_entry),
    "entry left": one_of(entries.TaskEnded, decode_entry),
    "entry job": one_of(entries.RunTimeObserved, decode_entry),
    "entry class": one_of(entries.CorrectionChanged, decode_entry),
    "entry granted": one_of(entries.MachineGranted, decode_entry),
    "entry marked": one_of(entries.OccupancyChanged, decode_entry),
    "entry released": one_of(entries.MachineReleased, decode_entry),
    "entry reachable": one_of(entries.ReachabilityChanged, decode_entry),
    "entry cached": one_of(entries.ImageCached, decode_entry),
    # Operators.
    "shares request": decoded_and_encoded(shares.SetShares),
    "shares answer": decoded_and_encoded(shares.SharesResponse),
    "shares error": decoded_and_encoded(shares.ErrorResponse),
    # Settings.
    "settings": Kind(settings.Settings, load_settings, None),
    "operators": Kind(settings.OperatorSettings, load_operators, None),
}

# What decoders raise for malformed bytes.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    jobs.SubmissionError,
    settings.SettingsError,
    standby.PayloadError,
)

# -- tests; nothing below names a type or a field ------------------------------------------------

DATA = pathlib.Path(__file__).parent / "data" / "wire_goldens.json"
GOLDENS: list[dict[str, Any]] = json.loads(DATA.read_text(encoding="utf-8"))["goldens"]


def bytes_of(golden: dict[str, Any]) -> bytes:
    """Return the recorded bytes, which the data holds as text or in base64."""
    if "base64" in golden:
        return base64.b64decode(golden["base64"], validate=True)
    text: str = golden["text"]
    return text.encode()


def positional(value: Any) -> Any:
    """Return a decoded value without names: structs become lists of their fields' values."""
    if isinstance(value, msgspec.Struct):
        return [positional(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, dict):
        return {key: positional(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [positional(item) for item in value]
    if isinstance(value, msgspec.Raw):
        return bytes(value).decode()
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    return value


def as_text(values: Any) -> str:
    """Return values as text, which distinguishes 4 from 4.0 and keeps the order of keys."""
    return json.dumps(values, ensure_ascii=False, indent=1)


def refusal_of(kind: Kind, body: bytes) -> str | None:
    """Return why the decoder refuses the bytes, "" without a reason, or None if it accepts them."""
    try:
        decoded = kind.decode(body)
    except DECODE_ERRORS as error:
        return str(error)
    if decoded is None:
        return ""
    return decoded if isinstance(decoded, str) and kind.type is not str else None


def as_parameters(goldens: list[dict[str, Any]]) -> list[Any]:
    """Return the goldens as parameters of a test, each with its name as id."""
    return [pytest.param(golden, id=f"{golden['kind']}: {golden['name']}") for golden in goldens]


ACCEPTED = [golden for golden in GOLDENS if "values" in golden]
REFUSED = [golden for golden in GOLDENS if "refused" in golden]
ENCODED = [
    golden
    for golden in ACCEPTED
    if KINDS[golden["kind"]].encode is not None and not golden.get("decode_only")
]


@pytest.mark.parametrize("golden", as_parameters(ACCEPTED))
def test_decodes_to_the_recorded_values(golden: dict[str, Any]) -> None:
    kind = KINDS[golden["kind"]]
    decoded = kind.decode(bytes_of(golden))
    assert type(decoded) is kind.type
    assert as_text(positional(decoded)) == as_text(golden["values"])


@pytest.mark.parametrize("golden", as_parameters(ENCODED))
def test_encodes_to_the_recorded_bytes(golden: dict[str, Any]) -> None:
    kind = KINDS[golden["kind"]]
    assert kind.encode is not None
    body = bytes_of(golden)
    assert kind.encode(kind.decode(body)) == body


@pytest.mark.parametrize("golden", as_parameters(REFUSED))
def test_refuses_malformed_bytes(golden: dict[str, Any]) -> None:
    assert refusal_of(KINDS[golden["kind"]], bytes_of(golden)) == golden["refused"]


def test_every_kind_has_goldens() -> None:
    accepted_kinds = {golden["kind"] for golden in ACCEPTED}
    encoded_kinds = {golden["kind"] for golden in ENCODED}
    assert accepted_kinds == set(KINDS)
    assert encoded_kinds == {name for name, kind in KINDS.items() if kind.encode is not None}


def test_names_are_unique() -> None:
    names = [(golden["kind"], golden["name"]) for golden in GOLDENS]
    assert len(set(names)) == len(names)
