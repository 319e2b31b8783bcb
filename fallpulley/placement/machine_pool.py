"""The machines of one plan: their profiles with its bookings, and the earliest finish (T 3-4)."""

from __future__ import annotations

from fallpulley.placement.profile import EPSILON, Profile
from fallpulley.placement.queue import PendingJob, is_eligible
from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import Resources

# Machines of one type differ by up to a tenth in speed: finishes that lie closer together
# than that share of the estimate are the same for all we know, and cost decides.
EQUAL_FINISH_SHARE = 0.1
# Exception 1: room that is free is certain; room that will be free hangs on estimates that are
# often wrong by half. Waiting for it must promise to finish earlier by this share of the estimate.
FUTURE_START_PENALTY = 0.5
# The same penalty, counted in finishes that are told apart.
FUTURE_START_GRAINS = FUTURE_START_PENALTY / EQUAL_FINISH_SHARE
MIN_GRAIN_S = 1e-3

# Machines without room are sorted out after so many further starts: examining all of them for
# every job cost more than the jobs' own.
PRUNE_STARTS = 16

# A booking that a task could get, best first: its finish in grains with what else counts, the
# processors left free, finish, the machine's index, start, duration (seconds of the steady clock).
# A plain tuple: one is made and compared for every pair of job and machine.
Candidate = tuple[float, float, float, int, float, float]
# When a machine's room next changes, and the machine's index. A plain tuple for the same reason.
NextChange = tuple[float, int]


class MachinePool:
    """Copies of the profiles that a plan books in, and which machines have room now.

    Machines are known by their index in the list of snapshots. Only those with room now can
    start something, so a job's first candidates are theirs. The others follow in the order in
    which they get room.
    """

    def __init__(self, snapshots: list[MachineSnapshot], now: float) -> None:
        self.snapshots = snapshots
        self.now = now
        self._profiles: list[Profile] = []
        self._copied: set[int] = set()
        self._with_room: list[int] = []
        self._full: list[NextChange] = []
        self._full_non_spot: list[NextChange] | None = None  # made when first asked for
        self._fetch_free_at: dict[int, float] = {}  # with the plan's own fetches
        self._fetched_at: dict[tuple[int, str], float] = {}  # images that the plan fetches
        # Resources for which no machine has room now. Room only shrinks while a plan is made.
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
        profile.begin_at(self.now)
        self._profiles.append(profile)
        if profile.cpus[0] > EPSILON or profile.gpus[0] > EPSILON:
            self._with_room.append(index)
        else:
            self._full.append((profile.next_change(), index))

    def earliest_finish(self, job: PendingJob, index: int) -> Candidate | None:
        """The booking for a task on the machine that finishes first (T 3-4: EFT), the image's
        fetch included; None: it never fits."""
        snapshot, now = self.snapshots[index], self.now
        run_s = job.estimated_run_s * snapshot.slowness
        ready_at = snapshot.images.get(job.image)
        if ready_at is None and self._fetched_at:
            ready_at = self._fetched_at.get((index, job.image))
        if ready_at is None:
            # As _fetch_ends_at, without its call: most pairs of job and machine come here.
            free_at = self._fetch_free_at.get(index, snapshot.fetch_free_at)
            ready_at = (free_at if free_at > now else now) + job.image_gb / snapshot.fetch_gb_per_s
        profile = self._profiles[index]
        start = profile.earliest_start(
            job.resources, run_s + ready_at - now if ready_at > now else run_s
        )
        if start is None:
            return None
        # Among equal finishes, ordinary machines are left to jobs that need them.
        cost = 1.0 if job.allow_spot and not snapshot.spot else 0.0
        if start > now:
            cost += FUTURE_START_GRAINS
        else:
            start = now
        duration_s = run_s + ready_at - start if ready_at > start else run_s
        finish = start + duration_s
        free_cpus = profile.cpus[0] - job.resources.cpus
        grain_s = job.estimated_run_s * EQUAL_FINISH_SHARE
        grains = round(finish / (grain_s if grain_s > MIN_GRAIN_S else MIN_GRAIN_S))
        return (grains + cost, free_cpus, finish, index, start, duration_s)

    def _fetch_ends_at(self, job: PendingJob, index: int) -> float:
        """When a fetch of the job's image that follows all others on the machine is through."""
        snapshot = self.snapshots[index]
        free_at = self._fetch_free_at.get(index, snapshot.fetch_free_at)
        return max(self.now, free_at) + job.image_gb / snapshot.fetch_gb_per_s

    def book(self, job: PendingJob, index: int, start: float, duration_s: float) -> None:
        """Reserve the room of one task, and its image's fetch, on the machine."""
        profile = self._profiles[index]
        if index not in self._copied:
            self._copied.add(index)
            profile = self._profiles[index] = profile.copy()
        profile.book(start if start > self.now else profile.times[0], duration_s, job.resources)
        fetch = (index, job.image)
        if job.image not in self.snapshots[index].images and fetch not in self._fetched_at:
            fetched_at = self._fetch_ends_at(job, index)
            self._fetched_at[fetch] = self._fetch_free_at[index] = fetched_at

    def with_room_for(self, job: PendingJob) -> list[int]:
        """The machines on which a task of the job could start now."""
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
        """The machines but the excluded ones, in the order in which their room next changes.

        One that has some room, but not enough, is like those without: more comes with its next
        change, not before. Jobs that may not use spot machines get the others alone: a tenth of
        some fleets. Not to be changed by the caller.
        """
        profiles, snapshots = self._profiles, self.snapshots
        partly_full = [
            (profiles[index].next_change(), index)
            for index in self._with_room
            if index not in excluded and (allow_spot or not snapshots[index].spot)
        ]
        full = self._full if allow_spot else self._non_spot()
        return sorted(partly_full + full) if partly_full else full

    def _non_spot(self) -> list[NextChange]:
        if self._full_non_spot is None:
            self._full_non_spot = [
                entry for entry in self._full if not self.snapshots[entry[1]].spot
            ]
        return self._full_non_spot

    def prune(self, resources: Resources, starts: int) -> bool:
        """Count machines without room for the resources as full; False: none has any.

        `starts` is how many tasks the plan has started: after few further ones for the same
        resources little has changed, and nothing is done.
        """
        if resources == self._pruned_for and starts < self._starts_when_pruned + PRUNE_STARTS:
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
