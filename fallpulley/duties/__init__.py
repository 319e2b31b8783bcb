"""Single-holder duties: renting, returning, reclaiming and cleaning up, each held by one controller
under a lease and a fencing token, every outside action recorded before it goes out."""
