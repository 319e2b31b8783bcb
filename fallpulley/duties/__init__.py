"""Duties: actions on machines and records that only one controller at a time may carry out.

There are four duties: scaling out, releasing machines, adopting machines and cleaning up records.
Each has one owner, established by a lease and a fencing token. Every request to rent or release
machines is recorded before it is sent to the cloud (docs/duties.md).

The package is imported only if `[duties] enabled = true` is set in fallpulley.toml.
"""
