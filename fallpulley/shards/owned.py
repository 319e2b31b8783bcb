"""The shards that this controller owns now."""

from __future__ import annotations

from fallpulley.shards.agent import ShardAgent
from fallpulley.shards.shard import Shard


class OwnedShards:
    """State and agent of each, by shard_id."""

    def __init__(self) -> None:
        self.shards: dict[str, Shard] = {}
        self.agents: dict[str, ShardAgent] = {}

    def add(self, agent: ShardAgent) -> None:
        """This controller owns the shard from now on."""
        self.shards[agent.shard.shard_id] = agent.shard
        self.agents[agent.shard.shard_id] = agent

    def remove(self, shard_id: str) -> None:
        """Another controller owns the shard now."""
        del self.shards[shard_id]
        del self.agents[shard_id]
