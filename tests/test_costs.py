"""Costs that must not come back, counted in steps rather than by the clock."""

from __future__ import annotations

import pytest

from fallpulley.controller import Controller
from tests.test_stories import busy


def test_marks_are_compared_when_something_changed_not_at_every_tick(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world, uid = busy(pieces=4, seconds=60.0, expect_s=60.0)
    world.run(5.0)
    looks = ticks = 0
    mark, tick = Controller._mark_used, Controller._give_if_deaf

    def counted_mark(self: Controller, held: object) -> None:
        nonlocal looks
        looks += 1
        mark(self, held)  # type: ignore[arg-type]

    def counted_tick(self: Controller, held: object) -> None:
        nonlocal ticks
        ticks += 1
        tick(self, held)  # type: ignore[arg-type]

    monkeypatch.setattr(Controller, "_mark_used", counted_mark)
    monkeypatch.setattr(Controller, "_give_if_deaf", counted_tick)
    world.run(10.0)
    assert len(world.running(uid)) == 4
    assert ticks > 30 and looks <= ticks / 5
