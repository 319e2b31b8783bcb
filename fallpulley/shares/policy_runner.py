"""Applies the operators' share policy on the leader."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.controller_access import ControllerAccess
from fallpulley.jobs.service import JobService
from fallpulley.shares.messages import SetShares
from fallpulley.shares.policy import Policy, PolicyInput
from fallpulley.shares.record import ShareRecord
from fallpulley.shares.table import ConflictError, RefusedError, apply_request
from fallpulley.state.transactions import RequestPriority, ignore_result

log = logging.getLogger(__name__)

MAX_OPERATION_NAME_LENGTH = 64  # characters
SECONDS_PER_HOUR, HOURS_PER_DAY = 3600, 24


class PolicyRunner:
    """Evaluates the policy with this controller's data, and writes the shares that it asks for."""

    def __init__(self, access: ControllerAccess, record: ShareRecord, jobs: JobService) -> None:
        self._access = access
        self._record = record
        self._jobs = jobs
        self._policy = Policy(access.context.settings.operators.shares)

    def run(self) -> None:
        """Evaluate the policy if it is due, and write the shares if they change enough."""
        context = self._access.context
        table = self._record.table
        new_shares = self._policy.wanted_shares(context.now, table, self._policy_input)
        if new_shares is None:
            return
        operation = f"policy-{context.incarnation}-{table.revision}"
        request = SetShares(new_shares, operation[-MAX_OPERATION_NAME_LENGTH:], table.revision)
        try:
            new_table = apply_request(table, request, self._record.deployment())
        except (RefusedError, ConflictError) as error:
            log.info("share policy result refused reason=%s", error)
            return
        weights = {controller_id: share.weight for controller_id, share in new_shares.items()}
        log.info("share policy applied weights=%s", weights)
        value = msgspec.json.encode(new_table)
        self._record.write(value, ignore_result, RequestPriority.BACKGROUND)

    def _policy_input(self) -> PolicyInput:
        registry = self._access.registry
        load = {}
        backlog = {}
        for shard_id in {*self._record.controller_ids, *registry.shards}:
            work_by_priority = self._jobs.estimated_work_by_priority(shard_id)
            exists = shard_id in registry.shards
            processors = registry.processors(shard_id) if exists else 0.0
            backlog[shard_id] = work_by_priority
            load[shard_id] = sum(work_by_priority.values()) / max(1.0, processors)
        hour = self._access.context.wall_time / SECONDS_PER_HOUR % HOURS_PER_DAY
        return PolicyInput(load, backlog, hour)
