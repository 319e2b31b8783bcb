"""Reads the progress of a shard's jobs after a failover."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import Response
from fallpulley.jobs.completion import is_chunk_name
from fallpulley.jobs.messages import JOB_ID
from fallpulley.jobs.stored_progress import (
    PROGRESS_PREFIX,
    ProgressItem,
    ProgressPage,
    parse_progress_key,
)
from fallpulley.shards.shard import Shard
from fallpulley.state.transactions import RequestPriority

log = logging.getLogger(__name__)

PAGE_SIZE = 400
PAGE_TIMEOUT_SECONDS = 5.0


class ProgressLoader:
    """Merges all stored progress values into the jobs of an acquired shard, page by page."""

    def __init__(self, context: ControllerContext, first_format_chunk_tasks: int) -> None:
        """`first_format_chunk_tasks`: how many tasks a chunk of the first record format holds."""
        self.context = context
        self.first_format_chunk_tasks = first_format_chunk_tasks
        # By identity: a shard that was lost and acquired anew meanwhile is loaded for itself.
        self._loading: set[Shard] = set()

    def load(self, shard: Shard) -> None:
        """Begin to read the progress, unless it is being read; sets `shard.progress_loaded`."""
        if shard in self._loading:
            return
        self._loading.add(shard)
        self._request_page(shard, "")

    def _request_page(self, shard: Shard, after_key: str) -> None:
        path = f"/store?under={PROGRESS_PREFIX}&page={PAGE_SIZE}" + (
            f"&after={after_key}" if after_key else ""
        )

        def on_response(response: Response) -> None:
            page = _decode_page(shard, response)
            if page is None:
                self._loading.discard(shard)  # begun anew by the next call
                return
            for item in page.items:
                self._merge(shard, item)
            if page.has_next and page.items:
                self._request_page(shard, page.items[-1].key)
            else:
                self._on_loaded(shard)

        self.context.state_client.request(
            path, on_response, RequestPriority.PROGRESS, timeout_s=PAGE_TIMEOUT_SECONDS
        )

    def _merge(self, shard: Shard, item: ProgressItem) -> None:
        job_id, chunk_name = parse_progress_key(item.key)
        job = shard.jobs.get(job_id)
        if job is not None and JOB_ID.fullmatch(job_id) and is_chunk_name(chunk_name):
            job.progress.merge_stored_chunk(
                chunk_name, self.first_format_chunk_tasks, item.value.bits, item.mod_revision
            )

    def _on_loaded(self, shard: Shard) -> None:
        self._loading.discard(shard)
        shard.progress_loaded = True
        shard.needs_replan = True
        log.info("progress loaded shard=%s jobs=%d", shard.shard_id, len(shard.jobs))


def _decode_page(shard: Shard, response: Response) -> ProgressPage | None:
    """The page; None if there is none or it is malformed."""
    if not response.ok:
        return None
    try:
        return msgspec.json.decode(response.body, type=ProgressPage)
    except msgspec.MsgspecError:
        log.error("progress page malformed shard=%s", shard.shard_id)
        return None
