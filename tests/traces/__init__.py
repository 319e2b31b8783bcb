"""What a controller is told and what it asks for, recorded and compared between two versions.

`python3 -m tests.compare_traces REV` plays the same scenarios with the sources of a revision and
with those at hand. `scenarios` lists them, `play` runs one, `recorder` writes its trace, `compare`
finds the first difference. All names of the sources that they use stand in `adapter`.
"""
