"""Loading of the stored progress of a shard's jobs after a failover."""

from __future__ import annotations

import logging

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.jobs.completion import is_chunk_name
from fallpulley.jobs.messages import JOB_ID_PATTERN
from fallpulley.jobs.stored_progress import (
    PROGRESS_PREFIX,
    ProgressItem,
    ProgressPage,
    parse_progress_key,
)
from fallpulley.shards.shard import Shard
from fallpulley.state.transactions import RequestPriority

log = logging.getLogger(__name__)

PAGE_SIZE = 400  # maximum number of progress values requested at a time
PAGE_TIMEOUT_SECONDS = 5.0


class ProgressLoader:
    """Loads stored progress values page by page and merges them into an acquired shard's jobs."""

    def __init__(self, context: ControllerContext, first_format_tasks_per_chunk: int) -> None:
        """`first_format_tasks_per_chunk`: tasks in a progress chunk of the first record format."""
        self.context = context
        self.first_format_tasks_per_chunk = first_format_tasks_per_chunk
        # Compared by identity: a shard that is lost and acquired again meanwhile is loaded again.
        self._loading: set[Shard] = set()

    def load(self, shard: Shard) -> None:
        """Start loading a shard's progress, unless it is being loaded already.

        Sets `shard.progress_loaded` when all of it has been merged.
        """
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
                self._loading.discard(shard)  # the next call starts again from the first page
                return
            for item in page.items:
                self._merge(shard, item)
            if page.has_next and page.items:
                self._request_page(shard, page.items[-1].key)
            else:
                self._on_loaded(shard)

        self.context.state_client.request(
            path, on_response, RequestPriority.BACKGROUND, timeout_s=PAGE_TIMEOUT_SECONDS
        )

    def _merge(self, shard: Shard, item: ProgressItem) -> None:
        job_id, chunk_name = parse_progress_key(item.key)
        job = shard.jobs.get(job_id)
        if job is not None and JOB_ID_PATTERN.fullmatch(job_id) and is_chunk_name(chunk_name):
            job.progress.merge_stored_chunk(
                chunk_name, self.first_format_tasks_per_chunk, item.value.bits, item.mod_revision
            )

    def _on_loaded(self, shard: Shard) -> None:
        self._loading.discard(shard)
        shard.progress_loaded = True
        shard.needs_replan = True
        log.info("progress loaded shard=%s jobs=%d", shard.shard_id, len(shard.jobs))


def _decode_page(shard: Shard, response: Response) -> ProgressPage | None:
    """Return the page in a response; None if the request failed or the page is malformed."""
    if not response.ok:
        return None
    try:
        return msgspec.json.decode(response.body, type=ProgressPage)
    except msgspec.MsgspecError:
        log.error("malformed page of stored progress, loading again shard=%s", shard.shard_id)
        return None
