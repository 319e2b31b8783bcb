"""Estimates of run times, learned from completed tasks (T 5-2-6).

Users' estimates are often wrong by half. Each class of jobs has a correction that starts at 1;
within a job, tasks that completed say more than either.
"""

from __future__ import annotations

# Weight of one job's tasks against what the class showed before.
CLASS_WEIGHT = 0.05
# The corrected estimate counts as much as this many completed tasks of the job itself.
PRIOR_TASKS = 2.0
# A task past its estimate still needs about this share of the longer of the two: tasks of one
# job differ by half, and the estimate itself may be too low.
OVERRUN_SHARE = 0.3
MIN_CORRECTION, MAX_CORRECTION = 0.2, 5.0


class Corrections:
    """A factor per class on the users' estimates, between MIN_CORRECTION and MAX_CORRECTION."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, job_class: str) -> float:
        """What to multiply estimates of the class with; 1 while nothing is known."""
        return self._factors.get(job_class, 1.0)

    def factors(self) -> dict[str, float]:
        """A copy of all factors learned so far, by class."""
        return dict(self._factors)

    def restore(self, factors: dict[str, float]) -> None:
        """Adopt factors learned by another controller, within this one's own bounds."""
        for job_class, factor in factors.items():
            self._factors[job_class] = max(MIN_CORRECTION, min(MAX_CORRECTION, factor))

    def record_run_time(self, job_class: str, estimated_s: float, run_s: float) -> None:
        """Move the class's factor towards what a completed task showed."""
        ratio = max(MIN_CORRECTION, min(MAX_CORRECTION, run_s / estimated_s))
        factor = self.factor(job_class)
        self._factors[job_class] = factor + CLASS_WEIGHT * (ratio - factor)


def run_estimate(corrected_s: float, observed_tasks: int, observed_s: float) -> float:
    """A task's run time in seconds, from the corrected estimate and the job's completed tasks.

    `observed_s` is the sum of the run times of the `observed_tasks` tasks.
    """
    return (corrected_s * PRIOR_TASKS + observed_s) / (PRIOR_TASKS + observed_tasks)


def remaining_run_time(estimate_s: float, ran_s: float) -> float:
    """The seconds a running task still needs; past its estimate, a share of what it has run."""
    return max(estimate_s - ran_s, OVERRUN_SHARE * max(estimate_s, ran_s))
