"""Construction of a controller from its components and the extensions that are enabled."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from fallpulley.balancing.balancer import ShardBalancer
from fallpulley.controller.cancellation_announcer import CancellationAnnouncer
from fallpulley.controller.health import Health
from fallpulley.controller.job_sync import JobSync
from fallpulley.controller.peer_exchange import PeerExchange
from fallpulley.controller.peer_messages import PeerMessageHandler
from fallpulley.controller.periodic import PeriodicTasks
from fallpulley.controller.record_dispatch import RecordDispatcher
from fallpulley.controller.refusal_announcer import RefusalAnnouncer
from fallpulley.controller.router import Router
from fallpulley.controller.shard_lifecycle import ShardLifecycle
from fallpulley.controller_access import ControllerAccess
from fallpulley.controller_context import ControllerContext
from fallpulley.extensions import Extensions
from fallpulley.fleet.autoscaler import Autoscaler
from fallpulley.fleet.provider import MachineProvider
from fallpulley.heartbeats.handler import HeartbeatHandler
from fallpulley.heartbeats.responses import HeartbeatResponder
from fallpulley.jobs.service import JobService
from fallpulley.membership.leadership import Leadership
from fallpulley.membership.session import SessionLease
from fallpulley.mesh.peers import Peers
from fallpulley.persistence.job_persistence import JobPersistence
from fallpulley.scheduling.planner import Planner
from fallpulley.settings import Settings
from fallpulley.shards.occupancy import OccupancyFlags
from fallpulley.shards.owned_shards import OwnedShards
from fallpulley.shared_records.registry import Registry
from fallpulley.shared_records.writer import ShardWriter
from fallpulley.state.watch_cache import WatchCache

# Minimum number of watches that return within one session length: each return shows that this
# controller's copy of the records is up to date.
WATCHES_PER_SESSION = 3.0
# Share of this controller's budget of requests to the state service that watches may use.
WATCH_REQUEST_SHARE = 0.5
# Minimum time between two watches, even if the budget allows more of them.
MIN_WATCH_INTERVAL_SECONDS = 0.05


class ControllerComponents(msgspec.Struct, frozen=True):
    """The components of one controller, each constructed with the others that it uses."""

    context: ControllerContext
    watch: WatchCache
    registry: Registry
    owned_shards: OwnedShards
    extensions: Extensions
    session: SessionLease
    leadership: Leadership
    writer: ShardWriter
    jobs: JobService
    job_sync: JobSync
    provider: MachineProvider
    planner: Planner
    peers: Peers
    health: Health
    heartbeats: HeartbeatHandler
    cancellation_announcer: CancellationAnnouncer
    peer_messages: PeerMessageHandler
    router: Router
    periodic: PeriodicTasks


def build_components(
    settings: Settings, incarnation: str, clock: Callable[[], float]
) -> ControllerComponents:
    """Build all components of a controller, before its first step."""
    context = ControllerContext(settings, incarnation, clock)
    watch = _build_watch(context)
    registry = Registry()
    owned_shards = OwnedShards()
    extensions = Extensions()
    session = SessionLease(context, watch)
    leadership = Leadership(context, watch, registry, session, extensions)
    writer = ShardWriter(context, watch, registry)
    jobs = JobService(context, watch, registry, extensions.shard_of_team)
    provider = MachineProvider(
        context, watch, registry, writer, extensions.action_guard, extensions.shard_for_rental
    )
    peers = Peers(context)
    health = Health(context, watch, session, peers)
    planner = Planner(context, registry, jobs, health.certainly_owned_at)
    job_sync = JobSync(jobs, owned_shards)
    responder = HeartbeatResponder(
        context,
        watch,
        registry,
        writer,
        owned_shards,
        health.may_respond_to_machines,
        health.certainly_owned_at,
    )
    heartbeats = HeartbeatHandler(
        context, watch, registry, leadership, writer, provider, owned_shards, responder
    )
    lifecycle = ShardLifecycle(context, registry, writer, owned_shards, job_sync, extensions)
    dispatcher = RecordDispatcher(context, registry, job_sync, lifecycle, extensions)
    watch.subscribe(dispatcher.on_key_changed)
    balancer = ShardBalancer(context, registry, session, leadership, writer, provider, jobs, peers)
    refusal_announcer = RefusalAnnouncer(context, registry, provider, peers)
    peer_exchange = PeerExchange(
        peers, health, jobs, provider, balancer, refusal_announcer, owned_shards, extensions
    )
    periodic = PeriodicTasks(
        context,
        watch,
        registry,
        session,
        leadership,
        writer,
        provider,
        Autoscaler(context, registry, writer, provider),
        jobs,
        JobPersistence(context),
        planner,
        OccupancyFlags(context, writer),
        balancer,
        heartbeats,
        peer_exchange,
        owned_shards,
        extensions,
    )
    components = ControllerComponents(
        context=context,
        watch=watch,
        registry=registry,
        owned_shards=owned_shards,
        extensions=extensions,
        session=session,
        leadership=leadership,
        writer=writer,
        jobs=jobs,
        job_sync=job_sync,
        provider=provider,
        planner=planner,
        peers=peers,
        health=health,
        heartbeats=heartbeats,
        cancellation_announcer=CancellationAnnouncer(context, registry, jobs, job_sync, peers),
        peer_messages=PeerMessageHandler(
            registry, jobs, leadership, provider, peers, job_sync, extensions
        ),
        router=Router(context, health, jobs, heartbeats, extensions),
        periodic=periodic,
    )
    _add_extensions(components)
    return components


def _build_watch(context: ControllerContext) -> WatchCache:
    facts = context.settings.facts
    min_interval_s = max(1, facts.nodes) / (WATCH_REQUEST_SHARE * facts.state.rps)
    return WatchCache(
        context.state_client,
        context.timing.session_s / WATCHES_PER_SESSION,
        max(MIN_WATCH_INTERVAL_SECONDS, min_interval_s),
    )


def _add_extensions(components: ControllerComponents) -> None:
    """Add the extensions that the settings enable; the modules of others are not imported."""
    operators = components.context.settings.operators
    access = ControllerAccess(
        components.context,
        components.watch,
        components.registry,
        components.session,
        components.leadership,
        components.owned_shards,
    )
    if operators.standby.enabled:
        from fallpulley.standby.service import StandbyService

        components.extensions.add(
            StandbyService(components.context, components.registry, components.peers.send)
        )
    if operators.shares.enabled:
        from fallpulley.shares.service import SharesService

        components.extensions.add(SharesService(access, components.writer, components.jobs))
    if operators.duties.enabled:
        from fallpulley.duties.service import DutiesService

        components.extensions.add(DutiesService(access, components.provider))
