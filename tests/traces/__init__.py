"""Records the commands and effects of controllers, to compare two versions of the sources.

`python3 -m tests.compare_traces REV` plays the same scenarios with the sources of a revision and
with those of the working tree. `scenarios` lists the scenarios, `play` runs one of them, `recorder`
writes its trace and `compare` finds the first difference between two traces. Only `adapter` and
`recorder` use the sources that are played; `names` maps the names that these have in different
revisions.
"""
