"""The simulated cluster as scenarios use it, whichever names the played sources give its parts."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable
from typing import Any

from tests.traces.names import find, read, write
from tests.traces.recorder import CorruptBatch, Recorder

# (sender, receiver, body) of a message between controllers -> delays in seconds of the copies that
# arrive; an empty list loses the message.
PeerMessageDelays = Callable[[str, str, bytes], list[float]]


def _ignore(*answer: object) -> None:
    pass


class Cluster:
    """Three controllers, workers, state service and cloud, with the failures they may have."""

    def __init__(
        self,
        recorder: Recorder,
        machines: int,
        capacity: int,
        operators: dict[str, Any],
        facts: dict[str, Any],
    ) -> None:
        self._recorder = recorder
        self._simulation = find("SimulatedCluster")(
            machines, start=False, operators=operators, **facts
        )
        self.labels: list[str] = list(find("CONTROLLER_LABELS"))
        self._processes = 0
        write(self._simulation, "capacity", capacity)

    def _read(self, attribute: str) -> Any:
        return read(self._simulation, attribute)

    # -- time ------------------------------------------------------------------------------

    @property
    def now(self) -> float:
        return float(self._read("now"))

    def step(self) -> None:
        self._read("step")()

    def set_step(self, seconds: float) -> None:
        write(self._simulation, "step_s", seconds)

    # -- controllers -----------------------------------------------------------------------

    def running(self) -> list[str]:
        return sorted(self._read("controllers"))

    def start_controller(
        self, label: str, older: bool = False, operators: dict[str, Any] | None = None
    ) -> None:
        """Start a process of this controller; an `older` one knows only record format 1."""
        self._read("start_controller")(label, older=older, operators=operators)
        self._processes += 1
        self._recorder.register_controller(self._read("controllers")[label], label, self._processes)

    def crash(self, label: str) -> None:
        self._read("crash")(label)

    def pause(self, label: str) -> None:
        self._read("paused_controllers").add(label)

    def resume(self, label: str) -> None:
        self._read("paused_controllers").discard(label)

    def leader(self) -> str:
        """Return the leader recorded in the state service, or the first controller if none is."""
        entry = self._read_state("entries").get("live/leader")
        return str(entry[0]["label"]) if entry else self.labels[0]

    def owner(self) -> str:
        """Return the owner of the first shard, or the first controller if there is no shard."""
        for key, (record, _, _) in sorted(self._read_state("entries").items()):
            if key.startswith("live/block/"):
                return str(record["holder"])
        return self.labels[0]

    def set_clock(self, label: str, wall_ahead_s: float, rate: float) -> None:
        """Set a controller's clocks.

        `wall_ahead_s` is the error of its time of day in seconds, `rate` the speed of its monotonic
        clock (1.0: as fast as the others').
        """
        self._read("wall_clock_offsets_s")[label] = wall_ahead_s
        self._read("clock_rates")[label] = rate

    # -- requests and messages -------------------------------------------------------------

    def send_request(self, label: str, method: str, path: str, body: Any = None) -> None:
        """Send a user's or worker's request; a `body` that is not bytes is sent as JSON."""
        self._read("send_request")(label, method, path, body)

    def send_operator_request(self, label: str, method: str, path: str, body: Any = None) -> None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else b""
        # A new object for each request: the recorder tells responses apart by its identity.
        respond = functools.partial(_ignore)
        self._read("commands")[label].append(find("OperatorRequest")(respond, method, path, data))

    def send_peer_message(self, label: str, body: bytes) -> None:
        self._read("commands")[label].append(find("PeerMessage")(body))

    def set_corruption(self, corrupt: CorruptBatch | None) -> None:
        """Let `corrupt` change each batch of commands from now on; None ends this."""
        self._recorder.corrupt = corrupt

    def sent_heartbeats(self, host: str) -> list[bytes]:
        """Return the bodies of the heartbeats that this machine has sent."""
        return list(self._read("sent_heartbeats").get(host, []))

    def set_peer_message_delays(self, delays: PeerMessageDelays) -> None:
        write(self._simulation, "peer_message_delays", delays)

    # -- the network -----------------------------------------------------------------------

    def add_partition(self, one: str, other: str) -> None:
        """Separate two parties: each a controller, a machine, "state" or "cloud"."""
        self._read("partitions").add((one, other))

    def remove_partition(self, one: str, other: str) -> None:
        self._read("partitions").discard((one, other))

    # -- the state service -----------------------------------------------------------------

    def _read_state(self, attribute: str) -> Any:
        return read(self._read("state"), attribute)

    def set_state_down(self, down: bool) -> None:
        write(self._read("state"), "down", down)

    def set_state_delay(self, seconds: float) -> None:
        write(self._simulation, "state_delay_s", seconds)

    def set_state_refused(self, label: str, refused: bool) -> None:
        """Set whether the state service answers this controller with 503."""
        (
            self._read("refused_controllers").add
            if refused
            else self._read("refused_controllers").discard
        )(label)

    def set_unanswered_transactions(self, label: str, delay_s: float | None) -> None:
        """Let this controller's transactions go unanswered and take effect after a delay.

        `delay_s` is the delay in seconds; None ends this.
        """
        if delay_s is None:
            self._read("unanswered_transactions").pop(label, None)
        else:
            self._read("unanswered_transactions")[label] = delay_s

    def set_state_limits(self, value_bytes: int, txn_ops: int, write_rps: float) -> None:
        state = self._read("state")
        write(state, "value_bytes", value_bytes)
        write(state, "txn_ops", txn_ops)
        write(state, "write_rps", write_rps)

    def put_record(self, key: str, value: Any) -> None:
        """Write a record into the state service that none of these controllers has written."""
        state = self._read("state")
        stamp = read(state, "revision") + 1
        write(state, "revision", stamp)
        read(state, "entries")[key] = (value, stamp, None)
        read(state, "log").append({"set": key, "v": value, "stamp": stamp})
        if isinstance(value, dict) and "spec" in value:
            self._read("submissions")[key.rpartition("/")[2]] = value["spec"]

    def skip_controller_starts(self, number: int) -> None:
        """Give the next processes numbers above those in records that were there before."""
        write(self._simulation, "controller_starts", number)

    # -- machines --------------------------------------------------------------------------

    def hosts(self) -> list[str]:
        return sorted(self._read("workers"))

    def add_machine(self, zone: str, spot: bool) -> None:
        self._read("add_machine")(zone, spot)

    def remove_machine(self, host: str) -> None:
        """Take a machine away, as the cloud does."""
        self._read("workers").pop(host, None)

    def set_hung(self, host: str, hung: bool) -> None:
        self._set_worker_attribute(host, "hung", hung)

    def set_preemption_notice(self, host: str, seconds: float | None) -> None:
        """Let a spot machine report that it is preempted in so many seconds; None: no notice."""
        self._set_worker_attribute(host, "preemption_notice_s", seconds)

    def _set_worker_attribute(self, host: str, attribute: str, value: object) -> None:
        worker = self._read("workers").get(host)
        if worker is not None:
            write(worker, attribute, value)

    def set_message_loss(self, host: str, kind: str, lost: bool) -> None:
        """Set whether messages of one kind are lost between this machine and the controllers.

        `kind` is "response_loss_hosts", "heartbeat_loss_hosts" or "command_loss_hosts".
        """
        hosts = self._read(kind)
        (hosts.add if lost else hosts.discard)(host)

    def set_exit_reason(self, host: str, cause: str | None) -> None:
        """Set the exit reason of all tasks that end on this machine; None: the normal one."""
        if cause is None:
            self._read("exit_reasons").pop(host, None)
        else:
            self._read("exit_reasons")[host] = cause

    def set_task_duration(self, job: str, seconds: float) -> None:
        self._read("task_durations_s")[job] = seconds

    # -- the cloud -------------------------------------------------------------------------

    def set_cloud_down(self, down: bool) -> None:
        write(self._simulation, "cloud_down", down)

    def set_unanswered_cloud_actions(self, label: str, delay_s: float | None) -> None:
        """Let this controller's cloud actions go unanswered and be carried out after a delay.

        `delay_s` is the delay in seconds; None ends this.
        """
        if delay_s is None:
            self._read("unanswered_cloud_actions").pop(label, None)
        else:
            self._read("unanswered_cloud_actions")[label] = delay_s

    def set_capacity(self, machines: int) -> None:
        write(self._simulation, "capacity", machines)
