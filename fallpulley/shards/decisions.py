"""The interface through which an extension replicates the decisions of a shard's owner."""

from __future__ import annotations

from typing import Protocol

from fallpulley.workers.machine import TaskRun


class DecisionSink(Protocol):
    """Receives an owner's decisions in the order in which they are made.

    Its methods must neither raise exceptions nor block.
    """

    def task_started(self, run: TaskRun) -> None:
        """Record that an attempt was commanded to start, or was adopted from a machine."""

    def task_stopped(self, run: TaskRun) -> None:
        """Record that the machine of an attempt is commanded to stop it."""

    def task_ended(self, run: TaskRun, exit_reason: str) -> None:
        """Record that an attempt has exited or is confirmed gone from its machine.

        `exit_reason` is the reason that an attempt that has exited reported (empty if it reported
        none), and `gone` otherwise.
        """

    def run_time_observed(self, job_id: str, observed_tasks: int, observed_s: float) -> None:
        """Record that `observed_tasks` completed tasks of a job ran for `observed_s` s in total."""

    def correction_changed(self, job_class: str, factor: float) -> None:
        """Record the new factor on the run-time estimates of a job class."""

    def machine_granted(self, machine_id: str) -> None:
        """Record that the machine was granted to the shard."""

    def machine_occupancy_changed(self, machine_id: str, occupied: bool) -> None:
        """Record that the flag for whether the machine may hold tasks is to become `occupied`."""

    def machine_released(self, machine_id: str) -> None:
        """Record that the machine has left the shard."""

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None:
        """Record that the machine began to send heartbeats, or that its lease has expired."""

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None:
        """Record that the machine has an image or is fetching it."""


class NullDecisionSink:
    """A `DecisionSink` that discards everything, for shards that no extension replicates."""

    def task_started(self, run: TaskRun) -> None: ...

    def task_stopped(self, run: TaskRun) -> None: ...

    def task_ended(self, run: TaskRun, exit_reason: str) -> None: ...

    def run_time_observed(self, job_id: str, observed_tasks: int, observed_s: float) -> None: ...

    def correction_changed(self, job_class: str, factor: float) -> None: ...

    def machine_granted(self, machine_id: str) -> None: ...

    def machine_occupancy_changed(self, machine_id: str, occupied: bool) -> None: ...

    def machine_released(self, machine_id: str) -> None: ...

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None: ...

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None: ...


NULL_DECISION_SINK = NullDecisionSink()
