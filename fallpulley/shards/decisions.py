"""What a block's holder decides, as told to whoever keeps a record of it."""

from __future__ import annotations

from typing import Protocol

from fallpulley.workers.machine import TaskRun


class DecisionSink(Protocol):
    """Takes a holder's decisions in the order in which they are made. Must not fail or wait."""

    def task_started(self, run: TaskRun) -> None:
        """An attempt was ordered, or one found on a machine was adopted."""

    def task_stopped(self, run: TaskRun) -> None:
        """An attempt was told to stop."""

    def task_gone(self, run: TaskRun, cause: str) -> None:
        """An attempt has ended, or is proved gone from its machine."""

    def run_time_learned(self, job: str, observed: int, observed_s: float) -> None:
        """A job's completed tasks and their summed run times."""

    def class_correction_learned(self, job_class: str, factor: float) -> None:
        """A class's correction of its owners' estimates."""

    def machine_granted(self, machine_id: str) -> None:
        """The block's record has a new machine."""

    def machine_occupancy_changed(self, machine_id: str, used: bool) -> None:
        """The record is to say whether the machine may hold tasks."""

    def machine_released(self, machine_id: str) -> None:
        """The machine has left the block."""

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None:
        """The machine began to report, or fell silent."""

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None:
        """The machine has an image, or is about to."""


class IgnoredDecisions:
    """Nobody keeps a record."""

    def task_started(self, run: TaskRun) -> None: ...

    def task_stopped(self, run: TaskRun) -> None: ...

    def task_gone(self, run: TaskRun, cause: str) -> None: ...

    def run_time_learned(self, job: str, observed: int, observed_s: float) -> None: ...

    def class_correction_learned(self, job_class: str, factor: float) -> None: ...

    def machine_granted(self, machine_id: str) -> None: ...

    def machine_occupancy_changed(self, machine_id: str, used: bool) -> None: ...

    def machine_released(self, machine_id: str) -> None: ...

    def machine_reachability_changed(self, machine_id: str, reachable: bool) -> None: ...

    def image_cached(self, machine_id: str, image: str, size_gb: float) -> None: ...


IGNORED_DECISIONS = IgnoredDecisions()
