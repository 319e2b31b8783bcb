"""Messages between controllers.

Heartbeats are sent about once a second. Safety never depends on the delivery of a message.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from fallpulley.cloud.offer import Offer

# The path at which peers accept messages, as POST requests to their mesh address.
PEER_MESSAGES_PATH = "/beat"


class TaskCount(NamedTuple):
    """How many tasks of a job are completed and running; encoded as an array."""

    job_id: str
    completed: int
    running: int


class MachineRequest(msgspec.Struct, array_like=True):
    """Machines of one kind that a shard's owner requests from the leader."""

    shard_id: str
    machine_type: str
    zone: str
    spot: bool
    count: int

    @property
    def offer(self) -> Offer:
        """The offer of which machines are requested."""
        return Offer(self.machine_type, self.zone, self.spot)


class PeerHeartbeat(msgspec.Struct, tag="beat", array_like=True):
    """A controller's heartbeat, with the age of its watch cache and its jobs' task counts."""

    controller_id: str
    incarnation: str
    sent_at: float  # wall time in seconds since the epoch, to detect late delivery
    staleness_s: float  # age of the sender's last successful watch or read, in seconds
    task_counts: list[TaskCount]  # only for display to users
    machine_requests: list[MachineRequest]
    target_sizes: dict[str, int] = {}  # from the leader: shard -> number of machines to have


class Cancellations(msgspec.Struct, tag="called_off", array_like=True):
    """Jobs whose cancellation is durable, sent immediately to the owner of their shard.

    Without the message, an owner that cannot read the records would continue to run the jobs until
    its response window ends.
    """

    job_ids: list[str]


class RefusedOffer(NamedTuple):
    """Machines of one kind that the cloud has refused to rent; encoded as an array."""

    machine_type: str
    zone: str
    spot: bool
    backoff_s: float  # seconds from the sending of the message until they are requested again

    @property
    def offer(self) -> Offer:
        """The offer that is refused."""
        return Offer(self.machine_type, self.zone, self.spot)


class RentalRefusals(msgspec.Struct, tag="refused", array_like=True):
    """The offers that the cloud refuses, sent by the leader to the owners of shards.

    Only the leader rents machines. Without the message, the other owners would request the cheapest
    machines again and again, although others are available.
    """

    incarnation: str  # of the leader
    sent_at: float  # wall time in seconds since the epoch, to detect late delivery
    offers: list[RefusedOffer]  # all that are in back-off


PeerMessageBody = PeerHeartbeat | Cancellations | RentalRefusals


def decode_peer_message(body: bytes) -> PeerMessageBody | None:
    """Decode a message; None if it is malformed or of a type that this version does not know."""
    try:
        return msgspec.json.decode(body, type=PeerMessageBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
