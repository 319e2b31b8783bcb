"""Duties: actions on machines and records that one controller at a time may carry out.

Scaling out, releasing, adopting machines and cleaning up records each have one owner, by a lease
and a fencing token, and every action on the cloud is recorded before it goes out (docs/duties.md).

Nothing here is imported unless `[duties] enabled = true` stands in fallpulley.toml.
"""
