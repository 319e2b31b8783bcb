"""The machines of one plan with its bookings, and the search for the earliest finish (T 3-4)."""

from __future__ import annotations

from fallpulley.placement.profile import Profile
from fallpulley.placement.queue import PendingJob, is_eligible
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import TOLERANCE, Resources

# Length of a finish unit, as a share of the run-time estimate. Finish times are rounded to finish
# units before they are compared, and cost decides between equal ones: machines of one type differ
# by up to a tenth in speed, so that smaller differences mean nothing.
EQUAL_FINISH_SHARE = 0.1
# Exception 1 (to MOWS, see `fallpulley.placement`): a task waits for resources that are still in
# use only if that lets it finish earlier by this share of its run-time estimate. When they become
# free depends on estimates, which are often wrong by half; resources that are free now are certain.
FUTURE_START_PENALTY = 0.5
# The same penalty in finish units, in which finish times are compared (see EQUAL_FINISH_SHARE).
FUTURE_START_UNITS = FUTURE_START_PENALTY / EQUAL_FINISH_SHARE
# The smallest finish unit in seconds, for estimates near zero.
MIN_FINISH_UNIT_S = 1e-3

# How many tasks a plan starts before it again removes machines without room from the search.
# Checking all machines for every job took longer than placing the jobs.
PRUNE_INTERVAL_STARTS = 16

# A possible booking of a task: the finish in finish units plus penalties, the processors left free,
# the finish, the machine's index, the start and the duration (times in seconds of the monotonic
# clock). The smallest tuple is the best candidate. A plain tuple for speed: one is made and
# compared for every pair of job and machine.
Candidate = tuple[float, float, float, int, float, float]
# When a machine's free resources next change, and the machine's index. A plain tuple for speed too.
NextChange = tuple[float, int]


class MachinePool:
    """The profiles that a plan books in, and the machines that have room now.

    Room means free processors or GPUs. Machines are identified by their index in the list
    of snapshots. A profile is copied before the first booking in it.

    Only machines with room now can start a task, so they are a job's first candidates. The others
    follow in the order in which their free resources change.
    """

    def __init__(self, snapshots: list[MachineSnapshot], now: float) -> None:
        self.snapshots = snapshots
        self.now = now
        self._profiles: list[Profile] = []
        self._copied: set[int] = set()
        self._with_room: list[int] = []  # machines with room now, by index
        self._full: list[NextChange] = []  # machines without room now, sorted
        self._full_non_spot: list[NextChange] | None = None  # built on first use
        self._fetch_free_at: dict[int, float] = {}  # includes this plan's fetches
        self._fetch_ends_at: dict[tuple[int, str], float] = {}  # end of each fetch by this plan
        # Demands that fit on no machine now. Later in the same plan they don't fit either, because
        # bookings only take room away.
        self._without_room: list[Resources] = []
        self._pruned_for: Resources | None = None
        self._starts_when_pruned = 0
        for index, snapshot in enumerate(snapshots):
            self._add(index, snapshot)
        self._full.sort()

    def _add(self, index: int, snapshot: MachineSnapshot) -> None:
        profile = snapshot.profile
        if profile is None:
            profile = snapshot.profile = Profile(self.now, snapshot.capacity, snapshot.running)
        profile.advance_to(self.now)
        self._profiles.append(profile)
        if profile.cpus[0] > TOLERANCE or profile.gpus[0] > TOLERANCE:
            self._with_room.append(index)
        else:
            self._full.append((profile.next_change(), index))

    def earliest_finish(self, job: PendingJob, index: int) -> Candidate | None:
        """Return the booking with the earliest finish for a task on the machine (T 3-4: EFT).

        Its duration includes the time until the image is fetched. None if the task never fits.
        """
        snapshot, now = self.snapshots[index], self.now
        run_s = job.estimated_run_s * snapshot.slowness
        ready_at = snapshot.images.get(job.image)
        if ready_at is None and self._fetch_ends_at:
            ready_at = self._fetch_ends_at.get((index, job.image))
        if ready_at is None:
            # `_image_fetch_end` written out to save the call: this runs for most pairs of job and
            # machine.
            free_at = self._fetch_free_at.get(index, snapshot.fetch_free_at)
            ready_at = (free_at if free_at > now else now) + job.image_gb / snapshot.fetch_gb_per_s
        profile = self._profiles[index]
        start = profile.earliest_start(
            job.resources, run_s + ready_at - now if ready_at > now else run_s
        )
        if start is None:
            return None
        # Between equal finishes, prefer spot machines: jobs that may not use them need the others.
        cost = 1.0 if job.eligible.allow_spot and not snapshot.spot else 0.0
        if start > now:
            cost += FUTURE_START_UNITS
        else:
            start = now
        duration_s = run_s + ready_at - start if ready_at > start else run_s
        finish = start + duration_s
        free_cpus = profile.cpus[0] - job.resources.cpus
        finish_unit_s = job.estimated_run_s * EQUAL_FINISH_SHARE
        finish_units = round(
            finish / (finish_unit_s if finish_unit_s > MIN_FINISH_UNIT_S else MIN_FINISH_UNIT_S)
        )
        return (finish_units + cost, free_cpus, finish, index, start, duration_s)

    def _image_fetch_end(self, job: PendingJob, index: int) -> float:
        """Return when a fetch of the job's image ends if it follows all others on the machine."""
        snapshot = self.snapshots[index]
        free_at = self._fetch_free_at.get(index, snapshot.fetch_free_at)
        return max(self.now, free_at) + job.image_gb / snapshot.fetch_gb_per_s

    def book(self, job: PendingJob, index: int, start: float, duration_s: float) -> None:
        """Reserve the resources of one task on the machine, and its image fetch if needed."""
        profile = self._profiles[index]
        if index not in self._copied:
            self._copied.add(index)
            profile = self._profiles[index] = profile.copy()
        profile.book(start if start > self.now else profile.times[0], duration_s, job.resources)
        fetch = (index, job.image)
        if job.image not in self.snapshots[index].images and fetch not in self._fetch_ends_at:
            fetch_ends_at = self._image_fetch_end(job, index)
            self._fetch_ends_at[fetch] = self._fetch_free_at[index] = fetch_ends_at

    def machines_with_room(self, job: PendingJob) -> list[int]:
        """Return the machines on which a task of the job could start now, by index."""
        if self._known_to_fit_nowhere(job.resources):
            return []
        profiles, snapshots, resources = self._profiles, self.snapshots, job.resources
        with_room = [index for index in self._with_room if profiles[index].fits_now(resources)]
        if not with_room:
            self._without_room.append(resources)
        return [index for index in with_room if is_eligible(job, snapshots[index])]

    def _known_to_fit_nowhere(self, resources: Resources) -> bool:
        cpus, gpus, memory_gb = resources
        return any(
            cpus >= known.cpus and gpus >= known.gpus and memory_gb >= known.memory_gb
            for known in self._without_room
        )

    def by_next_change(self, excluded: set[int], allow_spot: bool) -> list[NextChange]:
        """Return the machines that are not excluded, sorted by when their free resources change.

        Machines that have room, but too little for the job, are included with the full ones: they
        have no more room before their next change. Jobs that may not use spot machines get only the
        others, which are a tenth of some fleets. The caller must not change the list.
        """
        profiles, snapshots = self._profiles, self.snapshots
        partly_full = [
            (profiles[index].next_change(), index)
            for index in self._with_room
            if index not in excluded and (allow_spot or not snapshots[index].spot)
        ]
        full = self._full if allow_spot else self._list_full_non_spot()
        return sorted(partly_full + full) if partly_full else full

    def _list_full_non_spot(self) -> list[NextChange]:
        if self._full_non_spot is None:
            self._full_non_spot = [
                entry for entry in self._full if not self.snapshots[entry[1]].spot
            ]
        return self._full_non_spot

    def prune(self, resources: Resources, starts: int) -> bool:
        """Count machines without room for the resources as full; return whether any has room.

        `starts` is how many tasks the plan has started so far. Nothing is done if fewer than
        `PRUNE_INTERVAL_STARTS` of them came after the last call that pruned for the same resources,
        since little has changed by then.
        """
        if (
            resources == self._pruned_for
            and starts < self._starts_when_pruned + PRUNE_INTERVAL_STARTS
        ):
            return bool(self._with_room)
        self._pruned_for, self._starts_when_pruned = resources, starts
        kept: list[int] = []
        for index in self._with_room:
            profile = self._profiles[index]
            if profile.fits_now(resources):
                kept.append(index)
            else:
                self._full.append((profile.next_change(), index))
        if len(kept) != len(self._with_room):
            self._with_room = kept
            self._full.sort()
            self._full_non_spot = None
        return bool(kept)
