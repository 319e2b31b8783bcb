"""Commands to a machine at its own address, between its heartbeats."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import msgspec

from fallpulley.context import ControllerContext
from fallpulley.effects import Response
from fallpulley.shards.shard import Shard
from fallpulley.workers.machine import Machine
from fallpulley.workers.machine_parts import NEVER
from fallpulley.workers.messages import DirectCommand, Heartbeat, TaskCommand

# A worker heeds a higher token only once in half a lease, so prompts need not come more often.
PROMPT_INTERVAL_LEASES = 0.5
TIMEOUT_SECONDS = 1.5
# A worker has carried the command out, or refused it as out of date: its state comes with both.
WORKER_STATUSES: Final = (HTTPStatus.OK, HTTPStatus.CONFLICT)


class DirectCommands:
    """Sends commands to the machines of one shard, and takes the states that they respond with."""

    def __init__(
        self,
        context: ControllerContext,
        shard: Shard,
        on_machine_status: Callable[[Machine, Heartbeat], None],
    ) -> None:
        """`on_machine_status` is called with a machine's state from the response to a command that
        it has carried out."""
        self.context = context
        self.shard = shard
        self._on_machine_status = on_machine_status

    def prompt_heartbeat(self, machine: Machine) -> None:
        """Make a machine with a booked task send a heartbeat now.

        A higher token counts as a change, of which a worker sends a heartbeat at once.
        """
        now = self.context.now
        interval_s = PROMPT_INTERVAL_LEASES * self.context.timing.lease_s
        if now < machine.fencing.prompted_at + interval_s or not machine.entry.address:
            return
        if machine.fencing.advance_token(self.shard.fencing_token):
            machine.fencing.prompted_at = now
            self.send(machine, [])

    def send(
        self,
        machine: Machine,
        commands: list[TaskCommand],
        on_status: Callable[[int | None], None] | None = None,
    ) -> None:
        """Command a machine at its address.

        `on_status` is called with the status of the response before its content is applied; None:
        there was no response.
        """

        def on_outcome(response: Response) -> None:
            if on_status is not None:
                on_status(response.status)
            self.on_response(machine, response)

        message = msgspec.json.encode(
            DirectCommand(machine.fencing.token, machine.heartbeat.agent_epoch or 1, commands)
        )
        self.context.call(
            machine.entry.address, "POST", "/do", message, TIMEOUT_SECONDS, on_outcome
        )

    def on_response(self, machine: Machine, response: Response) -> None:
        """A machine has responded to a direct command, or has not in time."""
        if response.status not in WORKER_STATUSES:
            return
        if self.shard.machines.get(machine.machine_id) is not machine:
            return  # it has left the shard since
        try:
            status = msgspec.json.decode(response.body, type=Heartbeat)
        except msgspec.MsgspecError:
            return
        if status.machine_id != machine.machine_id:
            return  # its address belongs to another machine by now
        if response.ok:
            self._on_machine_status(machine, status)
        elif not machine.fencing.fenced and status.agent_epoch > machine.heartbeat.agent_epoch:
            # Refused because the command was for an older epoch: the next probe is for this one.
            machine.heartbeat.agent_epoch = status.agent_epoch
            machine.fencing.next_probe_at = NEVER
