"""Estimates of run times, corrected by the run times of completed tasks (T 5-2-6).

Users' estimates are often wrong by half. Each job class has a correction factor, which starts at
1. Within a job, the run times of its own completed tasks are better evidence than both.
"""

from __future__ import annotations

# Weight of one completed task in the correction factor of its class (moving average).
CLASS_WEIGHT = 0.05
# A job's estimate is the mean of the run times of its completed tasks and of the corrected
# estimate, which counts as this many tasks.
PRIOR_TASKS = 2.0
# The least remaining time of a running task, as a share of the longer of its estimate and the time
# that it has run: run times within one job differ by half, and the estimate may be too low.
OVERRUN_SHARE = 0.3
# Bounds of the correction factors.
MIN_CORRECTION, MAX_CORRECTION = 0.2, 5.0


class Corrections:
    """Correction factors for users' estimates, one for each job class.

    Factors lie between `MIN_CORRECTION` and `MAX_CORRECTION`.
    """

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, job_class: str) -> float:
        """Return the factor for estimates of the class, 1 if no task of it has completed yet."""
        return self._factors.get(job_class, 1.0)

    def factors(self) -> dict[str, float]:
        """Return a copy of all factors learned so far, by class."""
        return dict(self._factors)

    def restore(self, factors: dict[str, float]) -> None:
        """Adopt factors learned by another controller, limited to the bounds used here."""
        for job_class, factor in factors.items():
            self._factors[job_class] = max(MIN_CORRECTION, min(MAX_CORRECTION, factor))

    def record_run_time(self, job_class: str, estimated_s: float, run_s: float) -> None:
        """Move the class's factor towards the run time of a completed task over its estimate."""
        ratio = max(MIN_CORRECTION, min(MAX_CORRECTION, run_s / estimated_s))
        factor = self.factor(job_class)
        self._factors[job_class] = factor + CLASS_WEIGHT * (ratio - factor)


def estimate_run_time(corrected_s: float, observed_tasks: int, observed_s: float) -> float:
    """Estimate a task's run time in seconds from the corrected estimate and completed tasks.

    `observed_s` is the total run time of the job's `observed_tasks` completed tasks.
    """
    return (corrected_s * PRIOR_TASKS + observed_s) / (PRIOR_TASKS + observed_tasks)


def estimate_remaining_run_time(estimate_s: float, ran_s: float) -> float:
    """Estimate how many seconds a task that has run for `ran_s` still needs.

    This is the rest of its estimate, but at least `OVERRUN_SHARE` of the longer of `estimate_s` and
    `ran_s`, so a task past its estimate is never expected to end at once.
    """
    return max(estimate_s - ran_s, OVERRUN_SHARE * max(estimate_s, ran_s))
