"""An owner's requests for machines to the leader, until the machines are known or refused."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from fallpulley.cloud.offer import Offer
from fallpulley.mesh.messages import MachineRequest
from fallpulley.mesh.peers import PEER_HEARTBEAT_INTERVAL_SECONDS
from fallpulley.shards.shard import Shard

# How long a request may still be granted, in intervals of the heartbeats between controllers. It is
# sent with the next heartbeat, and the machines become known with the shard's next record.
OPEN_REQUEST_HEARTBEATS = 4.0


class _SentRequest(NamedTuple):
    request: MachineRequest
    sent_at: float  # in seconds of the monotonic clock


class SentRequests:
    """The requests that the leader may have met or may still meet, by shard.

    An owner that does not lead learns that machines were rented only from its shard's record. If it
    forgot its requests meanwhile, it would request the same machines again.
    """

    def __init__(self) -> None:
        self._sent: dict[str, list[_SentRequest]] = {}  # by shard_id

    def record(self, shard_id: str, requests: list[MachineRequest], now: float) -> None:
        """Record requests that go out with the next heartbeat to the leader."""
        sent = self._sent.setdefault(shard_id, [])
        sent += [_SentRequest(request, now) for request in requests]

    def open_counts(self, shard: Shard, refused: Collection[Offer], now: float) -> Counter[Offer]:
        """Return how many requested machines of each offer may still come to the shard.

        Requests of refused offers count as answered, as do as many machines as the shard has
        received of an offer since its oldest open request.
        """
        oldest_at = now - OPEN_REQUEST_HEARTBEATS * PEER_HEARTBEAT_INTERVAL_SECONDS
        sent = [
            sent
            for sent in self._sent.get(shard.shard_id, [])
            if sent.sent_at > oldest_at and sent.request.offer not in refused
        ]
        self._sent[shard.shard_id] = sent
        counts: Counter[Offer] = Counter()
        first_sent_at: dict[Offer, float] = {}
        for request, sent_at in sent:
            counts[request.offer] += request.count
            first_sent_at.setdefault(request.offer, sent_at)
        if counts:
            for machine in shard.machines.values():
                entry = machine.entry
                offer = Offer(entry.machine_type, entry.zone, entry.spot)
                if offer in counts and machine.granted_at >= first_sent_at[offer]:
                    counts[offer] -= 1
        return +counts
