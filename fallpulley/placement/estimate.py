"""Estimates of run times, learned from what tasks took.

Owners' estimates are often wrong by half. Each class of jobs has a correction that starts
at 1; within a job, tasks that completed say more than either.
"""

from __future__ import annotations

# Weight of one job's tasks against what the class showed before.
CLASS_WEIGHT = 0.05
# The corrected estimate counts as much as this many completed tasks of the job itself.
PRIOR_TASKS = 2.0
# A task past its estimate still needs about this share of the longer of the two: tasks of one
# job differ by half, and the estimate itself may be too low.
OVERRUN = 0.3
LEAST, MOST = 0.2, 5.0


class Corrections:
    """A factor per class on the owners' estimates."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, job_class: str) -> float:
        return self._factors.get(job_class, 1.0)

    def factors(self) -> dict[str, float]:
        """All that was learned, by class."""
        return dict(self._factors)

    def restore(self, factors: dict[str, float]) -> None:
        """Take over what somebody else has learned, within the bounds of one's own learning."""
        for job_class, factor in factors.items():
            self._factors[job_class] = max(LEAST, min(MOST, factor))

    def learn(self, job_class: str, expected_s: float, took_s: float) -> None:
        ratio = max(LEAST, min(MOST, took_s / expected_s))
        factor = self.factor(job_class)
        self._factors[job_class] = factor + CLASS_WEIGHT * (ratio - factor)


def run_estimate(corrected_s: float, observed: int, observed_s: float) -> float:
    """A task's run time from the corrected estimate and the job's completed tasks."""
    return (corrected_s * PRIOR_TASKS + observed_s) / (PRIOR_TASKS + observed)


def remaining_run_time(estimate_s: float, ran_s: float) -> float:
    """What a running task still needs; one past its estimate is taken to need a share more."""
    return max(estimate_s - ran_s, OVERRUN * max(estimate_s, ran_s))
