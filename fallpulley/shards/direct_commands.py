"""Commands sent to a machine's own address, without waiting for its next heartbeat."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

import msgspec

from fallpulley.controller_context import ControllerContext
from fallpulley.effects import Response
from fallpulley.shards.shard import Shard
from fallpulley.timing import LONG_AGO
from fallpulley.workers.machine import Machine
from fallpulley.workers.messages import DirectCommand, Heartbeat, TaskCommand, TaskOperation

# Minimum time between two prompts for a heartbeat, in leases: a worker reacts to a higher token
# only once in half a lease.
PROMPT_INTERVAL_LEASES = 0.5
TIMEOUT_SECONDS = 1.5  # for the response to a direct command
# Statuses of responses that contain the worker's state: it has carried the command out (OK), or
# has refused it as out of date (CONFLICT).
WORKER_STATUSES: Final = (HTTPStatus.OK, HTTPStatus.CONFLICT)


class DirectCommands:
    """Sends commands to the machines of one shard, and receives their states in the responses."""

    def __init__(
        self,
        context: ControllerContext,
        shard: Shard,
        on_machine_status: Callable[[Machine, Heartbeat], None],
    ) -> None:
        """Create a sender of commands.

        `on_machine_status` is called with each machine that has carried out a command, and with
        its state from the response.
        """
        self.context = context
        self.shard = shard
        self._on_machine_status = on_machine_status

    def prompt_heartbeat(self, machine: Machine) -> None:
        """Make a machine with a booked task send a heartbeat now.

        This raises the machine's fencing token: a worker that receives a higher token sends a
        heartbeat at once. Does nothing if the machine was prompted less than half a lease ago, if
        its address is unknown, or if its token cannot be raised further.
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
        """Send commands to a machine's address, none of which may start a task.

        A late copy of a direct command is carried out if token and epoch still match, also after
        the machine has forgotten the attempt. Start commands are therefore sent in the responses to
        heartbeats alone, which a worker drops when they are late.

        `on_status` is called with the HTTP status of the response, or with None if there was no
        response, before the state in the response is applied.

        Raises:
            ValueError: A command starts a task.
        """
        if any(command.operation is TaskOperation.START for command in commands):
            raise ValueError("a start command may only be sent in the response to a heartbeat")

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
        """Apply the response to a direct command, unless it is missing, invalid or out of date."""
        if response.status not in WORKER_STATUSES:
            return
        if self.shard.machines.get(machine.machine_id) is not machine:
            return  # the machine has left the shard since
        try:
            status = msgspec.json.decode(response.body, type=Heartbeat)
        except msgspec.MsgspecError:
            return
        if status.machine_id != machine.machine_id:
            return  # the address belongs to another machine by now
        if response.ok:
            self._on_machine_status(machine, status)
        elif (
            not machine.fencing.token_confirmed
            and status.agent_epoch > machine.heartbeat.agent_epoch
        ):
            # The command was refused because it was for an older epoch. Send the next probe for the
            # reported epoch, without delay.
            machine.heartbeat.agent_epoch = status.agent_epoch
            machine.fencing.next_probe_at = LONG_AGO
