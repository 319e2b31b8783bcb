"""The decisions of a shard's owner, for an extension that replicates them."""

from __future__ import annotations

from typing import Protocol

from fallpulley.workers.machine import TaskRun


class DecisionSink(Protocol):
    """Receives an owner's decisions in the order in which they are made. Must not fail or wait."""

    def task_started(self, run: TaskRun) -> None:
        """An attempt was commanded to start, or one found on a machine was adopted."""

    def task_stopped(self, run: TaskRun) -> None:
        """An attempt is to stop: its machine is commanded to stop it."""

    def task_gone(self, run: TaskRun, cause: str) -> None:
        """An attempt has exited, or is confirmed gone from its machine; `cause`: the exit reason,
        or `gone`."""

    def run_time_learned(self, job_id: str, observed: int, observed_s: float) -> None:
        """A job has so many completed tasks of known run time; `observed_s`: their sum."""

    def class_correction_learned(self, job_class: str, factor: float) -> None:
        """The factor on the estimates of a job class has changed."""

    def machine_granted(self, machine_id: str) -> None:
        """The machine was granted to the shard."""

    def machine_occupancy_changed(self, machine_id: str, used: bool) -> None:
        """The machine's occupancy flag in the record is to change: whether it may hold tasks."""

    def machine_released(self, machine_id: str) -> None:
        """The machine has left the shard."""

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None:
        """The machine began to send heartbeats, or its lease has expired."""

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None:
        """The machine has an image, or fetches it."""


class IgnoredDecisions:
    """Nobody replicates the decisions: each method of `DecisionSink` does nothing."""

    def task_started(self, run: TaskRun) -> None: ...

    def task_stopped(self, run: TaskRun) -> None: ...

    def task_gone(self, run: TaskRun, cause: str) -> None: ...

    def run_time_learned(self, job_id: str, observed: int, observed_s: float) -> None: ...

    def class_correction_learned(self, job_class: str, factor: float) -> None: ...

    def machine_granted(self, machine_id: str) -> None: ...

    def machine_occupancy_changed(self, machine_id: str, used: bool) -> None: ...

    def machine_released(self, machine_id: str) -> None: ...

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None: ...

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None: ...


IGNORED_DECISIONS = IgnoredDecisions()
