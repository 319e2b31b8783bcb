"""Pending jobs and the order of their queue (T 3-1, Fig. 3-3)."""

from __future__ import annotations

import msgspec

from fallpulley.placement.snapshot import MachineSnapshot
from fallpulley.resources import TOLERANCE, Resources

# Jobs of this priority level and above are urgent: they are served before all others.
URGENT_PRIORITY_LEVEL = 2

QueueKey = tuple[float, float, float, float, float, float]


def machine_snapshots(
    shard: Shard, machine_types: dict[str, MachineType], now: float
) -> list[MachineSnapshot]:
    """The machines that may be given tasks now. A picture is made anew only when something
    changed on the machine or one of its tasks should have ended: hundreds of machines stay the
    same from one plan to the next."""
    snapshots = []
    estimates: dict[str, float] = {}
    for machine in shard.machines.values():
        if (
            not machine.usable
            or not machine.flagged_occupied
            or now < machine.reliability.refuses_tasks_until
        ):
            continue
        if machine.scale_in.draining:
            continue
        snapshot = machine.snapshot
        if snapshot is None or now >= snapshot.valid_until:
            machine_type = machine_types.get(machine.entry.machine_type)
            if machine_type is None or any(
                status.state != TaskState.EXITED and name not in machine.runs
                for name, status in machine.tasks.items()
            ):
                continue  # holds something whose size we do not know, until it is stopped
            snapshot = machine.snapshot = _snapshot(shard, machine, machine_type, estimates, now)
        snapshots.append(snapshot)
    return snapshots


def queue_order(job: PendingJob) -> QueueKey:
    """Shortest estimated remaining time first (T 3-1); overdue jobs before the others.

    Tasks of a job have equal upward rank (none has children), so their order is free.
    Exception 2: urgent jobs form a queue of their own before the rest, or those with long tasks
    would wait behind every short one of lower priority. Exception 5: the age bound does not cross
    the two: room made by stopping an old job's tasks would go back to that same job.
    Exception 6: the first tasks of a job that none of has run for too long go before all, or in
    a lasting burst of urgent or of short work the largest jobs would never begin.
    """
    if job.starved:
        return (0, 0, 0, job.submitted_at, 0.0, 0.0)
    if job.overdue:
        return (1, not job.urgent, 0, job.submitted_at, 0.0, 0.0)
    return (1, not job.urgent, 1, job.remaining_s, -job.estimated_run_s, job.submitted_at)


def is_eligible(job: PendingJob, snapshot: MachineSnapshot) -> bool:
    """Whether the job's tasks may run on the machine, were it empty."""
    return (
        (job.allow_spot or not snapshot.spot)
        and (job.machine_types is None or snapshot.machine_type in job.machine_types)
        and (job.zone is None or snapshot.zone == job.zone)
        and (job.avoided_machines is None or snapshot.machine_id not in job.avoided_machines)
        # Resources.fits_in without its call: this is asked for most pairs of job and machine.
        and job.resources.cpus <= snapshot.capacity.cpus + TOLERANCE
        and job.resources.gpus <= snapshot.capacity.gpus + TOLERANCE
        and job.resources.memory_gb <= snapshot.capacity.memory_gb + TOLERANCE
    )


def pending_jobs(
    shard: Shard,
    context: ControllerContext,
    teams: dict[str, Team],
    snapshots: list[MachineSnapshot],
) -> list[PendingJob]:
    """The jobs with tasks to place, in queue order, within their teams' limits."""
    now, wall_ms = context.now, context.wall_time * 1000
    found: list[PendingJob] = []
    shapes = count_shapes(snapshots)
    unclear: bool | None = None  # looked at only where a team has a limit
    for job in shard.jobs.values():
        if (
            job.cancelled
            or job.finished
            or now < job.retry.not_before
            or shard.is_unreconciled(job)
        ):
            continue
        if job.waits_for_dependencies:
            continue
        team = teams.get(job.spec.team)
        if team is not None and team.limited:
            if unclear is None:
                # Tasks that we cannot see, or cannot ascribe to a team, may use up the limit.
                unclear = (
                    bool(shard.unreconciled)
                    or not shard.progress_loaded
                    or shard.has_unknown_tasks()
                )
            if unclear:
                continue
        tasks = job.waiting_count()
        if not tasks or job.gang.restarting:
            continue
        entry = _pending_job(shard, context, job, tasks, shapes, wall_ms)
        first = first_tasks(job, context) - len(job.runs)
        if first > 0:
            # Without an end to it, shortest-first and the urgent queue would starve the rest.
            first = min(first, tasks) if not entry.all_at_once else tasks
            found.append(msgspec.structs.replace(entry, task_count=first, starved=True))
            entry.task_count -= first
            if job.spec.one_zone or job.spec.spread:
                continue  # booked in two parts, each would keep its bond without the other
        found.append(entry)
    _mark_late_jobs_overdue(
        found,
        shard,
        context,
        MAX_LATE_WORK_SHARE * sum(snapshot.capacity.cpus for snapshot in snapshots),
    )
    found.sort(key=queue_order)
    _keep_limits(found, shard, teams)
    return [job for job in found if job.task_count]


def first_tasks(job: OpenJob, context: ControllerContext) -> int:
    """How many tasks of a job go before all others: none, unless none of it has run for long."""
    waited = context.wall_time - job.ready_since_ms / 1000
    if job.progress.completed.count or waited < context.settings.operators.begin_bound_s:
        return 0
    return math.ceil(FIRST_SHARE * job.spec.task_count)


def _pending_job(
    shard: Shard,
    context: ControllerContext,
    job: OpenJob,
    tasks: int,
    shapes: MachineShapes,
    wall_ms: float,
) -> PendingJob:
    spec = job.spec
    estimate = shard.estimate_run_s(job)
    left = spec.task_count - job.progress.completed.count
    key = (left, shapes, round(estimate, 1))
    if key != job.urgency.remaining_inputs:
        job.urgency.remaining_inputs = key
        job.urgency.remaining_s = remaining_time(job.resources, estimate, left, shapes)
    job.update_deadline_risk(context.wall_time)
    waited = (wall_ms - job.ready_since_ms) / 1000
    avoid = job.retry.failed_machines or None
    if avoid is not None and avoid >= shard.machines.keys():
        avoid = None  # it failed on all there are: closed to it, they would stand idle beside it
    zone, zone_room = spec.zone, None
    if spec.one_zone and job.runs:
        run = next(iter(job.runs.values()))
        zone = shard.machines[run.machine_id].entry.zone
    if spec.spread:
        most = math.ceil(spec.task_count / 2)
        zone_room = dict.fromkeys((m.entry.zone for m in shard.machines.values()), most)
        for run in job.runs.values():
            at = shard.machines[run.machine_id].entry.zone
            zone_room[at] = zone_room.get(at, most) - 1
    return PendingJob(
        job.job_id,
        job.resources,
        estimate,
        tasks,
        spec.image,
        spec.image_gb,
        job.urgency.remaining_s + job.critical_path_s,
        job.urgency.deadline_at_risk or waited > context.settings.operators.age_bound * estimate,
        job.ready_since_ms / 1000,
        spec.allow_spot,
        job.priority_level,
        spec.machine_types,
        zone,
        zone_room,
        spec.one_zone,
        avoid,
        spec.kind == JobKind.GANG and not job.runs,
    )


def _keep_limits(waiting: list[PendingJob], shard: Shard, teams: dict[str, Team]) -> None:
    """Cut the tasks of limited teams to what their limits leave, first jobs first."""
    left: dict[str, list[float]] = {}
    for entry in waiting:
        job = shard.jobs[entry.job_id]
        team = teams.get(job.spec.team)
        if team is None or not team.limited:
            continue
        if team.name not in left:
            cpus, gpus = shard.team_usage(team.name)
            left[team.name] = [
                team.cpus_max - cpus if team.cpus_max > 0 else math.inf,
                team.gpus_max - gpus if team.gpus_max > 0 else math.inf,
            ]
        rest = left[team.name]
        count = entry.task_count
        for at in (0, 1):
            if entry.resources[at] > 0 and rest[at] < math.inf:
                count = min(count, max(0, int((rest[at] + 1e-6) / entry.resources[at])))
        if entry.all_at_once and count < entry.task_count:
            count = 0
        entry.task_count = count
        rest[0] -= count * entry.resources.cpus
        rest[1] -= count * entry.resources.gpus


class PlacementDecision(msgspec.Struct):
    """What a plan asks for: tasks to start, by machine, and tasks to stop for urgent ones."""

    starts: dict[str, list[Booking]]
    stops: list[Preemption]


def plan_shard(
    shard: Shard, context: ControllerContext, registry: Registry, teams: dict[str, Team]
) -> PlacementDecision:
    snapshots = machine_snapshots(shard, registry.machine_types, context.now)
    waiting = pending_jobs(shard, context, teams, snapshots)
    plan = make_plan(waiting, snapshots, context.now)
    decision = PlacementDecision({}, [])
    starting: dict[str, list[Booking]] = {}
    for booking in plan.starts:
        starting.setdefault(booking.job_id, []).append(booking)
        decision.starts.setdefault(booking.machine_id, []).append(booking)
    for job, bookings in starting.items():
        for booking, index in zip(bookings, shard.jobs[job].next_tasks(len(bookings)), strict=True):
            booking.task_index = index
    patience = _patience(context)
    if patience:
        decision.stops = _preemptions(shard, context, plan, waiting, snapshots, patience)
    return decision


def _late_after(context: ControllerContext) -> dict[str, float]:
    """Classes with an aim on starting, and after how long a job counts as old. Where jobs have
    deadlines, made from their estimates, shortest-first serves more of them."""
    late: dict[str, float] = {}
    objectives = context.settings.facts.objectives
    dated = {objective.job_class for objective in objectives if objective.kind == "deadline"}
    for objective in objectives:
        if objective.kind == "wait" and objective.within_s and objective.job_class not in dated:
            wait_s = LATE_SHARE * objective.within_s
            late[objective.job_class] = max(late.get(objective.job_class, wait_s), wait_s)
    return late


def _mark_late_jobs_overdue(
    waiting: list[PendingJob], shard: Shard, context: ControllerContext, room: float
) -> None:
    """Jobs whose class's aim on starting is about to be missed count as past their age bound, the
    shortest first, as far as they fit into `room` processors."""
    bounds = _late_after(context)
    late = []
    for entry in waiting:
        after = bounds.get(shard.jobs[entry.job_id].spec.job_class)
        waited = context.wall_time - entry.submitted_at
        if after is not None and waited > after and entry.priority_level < URGENT_PRIORITY_LEVEL:
            late.append(entry)
    for entry in sorted(late, key=queue_order):
        room -= entry.task_count * entry.resources.cpus
        if room < 0:
            return
        entry.overdue = True


def _patience(context: ControllerContext) -> dict[str, float]:
    """Classes with an aim on starting, and how long their tasks may wait for room."""
    patience: dict[str, float] = {}
    for objective in context.settings.facts.objectives:
        if objective.kind == "wait" and objective.within_s:
            wait_s = PATIENCE_SHARE * objective.within_s
            patience[objective.job_class] = min(patience.get(objective.job_class, wait_s), wait_s)
    return patience


def _preemptions(
    shard: Shard,
    context: ControllerContext,
    plan: Plan,
    waiting: list[PendingJob],
    snapshots: list[MachineSnapshot],
    patience: dict[str, float],
) -> list[Preemption]:
    """Stops for urgent tasks that would wait beyond what their class's aim allows."""
    late: list[tuple[PendingJob, int]] = []
    for entry in waiting:
        job_class = shard.jobs[entry.job_id].spec.job_class
        if entry.priority_level < URGENT_PRIORITY_LEVEL or job_class not in patience:
            continue
        waited = context.wall_time - entry.submitted_at
        # A stop takes effect with its machine's next report. Room that comes by then cannot be
        # had sooner: without this, a task that was late already had others stopped for it in
        # plan after plan while the first stops were still under way.
        soonest = STOP_REPORTS * context.timing.report_s + STOP_S
        until = context.now + max(soonest, patience[job_class] - waited)
        count = sum(1 for start in plan.later.get(entry.job_id, ()) if start > until)
        if count:
            late.append((entry, count))
    if not late:
        return []
    room: dict[str, Resources] = {}
    for snapshot in snapshots:
        free = snapshot.profile
        if free is not None:
            room[snapshot.machine_id] = Resources(free.cpus[0], free.gpus[0], free.memory_gb[0])
    for booking in plan.starts:
        resources = shard.jobs[booking.job_id].resources
        room[booking.machine_id] = room[booking.machine_id].minus(resources)
    # Only where one of the late jobs may run and something can make room for it: most of a fleet
    # may be closed to an urgent class, and the rest of it full of that class's own tasks.
    least = _least_demanding([entry for entry, _ in late])
    priority_level = max(entry.priority_level for entry, _ in late)
    victims: dict[str, list[Victim]] = {}
    offering: list[MachineSnapshot] = []
    for snapshot in snapshots:
        if not any(eligible(entry, snapshot) for entry in least):
            continue
        found = _victims(shard, context, snapshot.machine_id, priority_level)
        if found or any(entry.resources.fits_in(room[snapshot.machine_id]) for entry in least):
            victims[snapshot.machine_id] = found
            offering.append(snapshot)
    preemptions: list[Preemption] = []
    for entry, count in late:
        if not offering:
            break
        preemptions += choose_victims(entry, count, offering, room, victims, context.now)
    return preemptions


def _least_demanding(jobs: list[PendingJob]) -> list[PendingJob]:
    """Of jobs that may run on the same machines, those than which no other needs less: a machine
    with room for any has room for one of them. Hundreds of late jobs are of a few kinds; each of
    them compared with each of thousands of machines was half of a holder's time."""
    shapes: dict[tuple[object, ...], list[PendingJob]] = {}
    for job in sorted(jobs, key=lambda job: job.resources):
        machine_types = None if job.machine_types is None else tuple(job.machine_types)
        avoid = None if job.avoided_machines is None else frozenset(job.avoided_machines)
        alike = shapes.setdefault((job.allow_spot, machine_types, job.zone, avoid), [])
        if not any(other.resources.fits_in(job.resources) for other in alike):
            alike.append(job)
    return [job for alike in shapes.values() for job in alike]


def _victims(shard: Shard, context: ControllerContext, machine_id: str, below: int) -> list[Victim]:
    """The tasks of a lower rank on a machine, those whose stop loses least for their room first."""
    found = []
    now = context.now
    for run in shard.machines[machine_id].runs.values():
        job = shard.jobs.get(run.job_id)
        if (
            job is None
            or run.stop_grace_s is not None
            or not run.reported
            or run.state == TaskState.SAVING
        ):
            continue
        if job.priority_level >= below:
            continue
        if len(job.runs) <= first_tasks(job, context):
            continue  # it has waited for long enough
        ran = now - run.started_at if run.started_at is not None else 0.0
        if job.spec.checkpoint_interval_s > 0:
            ran = min(ran, 0.5 * job.spec.checkpoint_interval_s)
        loss = max(ran, 0.1) * max(run.resources.cpus, 0.1)
        found.append(Victim(run.task_id, job.priority_level, run.resources, loss))
    found.sort(key=lambda victim: victim.lost_work / max(victim.resources.cpus, 0.1))
    return found
