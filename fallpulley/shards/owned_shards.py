"""The shards that this controller owns now."""

from __future__ import annotations

from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.shard import Shard


class OwnedShards:
    """Holds the state and the agent of each owned shard, by shard_id."""

    def __init__(self) -> None:
        self.shards: dict[str, Shard] = {}
        self.agents: dict[str, ShardAgent] = {}

    def add(self, agent: ShardAgent) -> None:
        """Add a shard that this controller has acquired."""
        self.shards[agent.shard.shard_id] = agent.shard
        self.agents[agent.shard.shard_id] = agent

    def remove(self, shard_id: str) -> None:
        """Remove a shard that another controller now owns; raises KeyError if it is not here."""
        del self.shards[shard_id]
        del self.agents[shard_id]
