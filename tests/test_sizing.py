"""Sizing of a shard's fleet: what is rented for work, and what the log tells of work without it."""

from __future__ import annotations

import logging

import pytest

from tests.test_jobs_and_takeovers import ready_cluster, submit_job

ALL_OFFERS = {("a", True), ("a", False), ("b", True), ("b", False)}


def test_work_without_a_machine_is_logged_now_and_then(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a job that waits for ever while the operators' log says nothing of it.
    cluster = ready_cluster(0)
    cluster.refused_offers = set(ALL_OFFERS)
    with caplog.at_level(logging.INFO, "fallpulley.fleet.unmet_demand"):
        submit_job(cluster, 1, hall="b", pieces=4)
        for logged_lines in (1, 2):
            cluster.run(50.0)
            assert len(caplog.records) == logged_lines
    line = caplog.records[0].getMessage()
    assert "shard=node-0 types=any zone=b spot=True tasks=4 missing_cpus=" in line
    assert line.endswith("all_refused=True")
