"""Formats of stored records, by number. A process tells the newest that it knows; one is written
once every controller knows it."""

# Block records by runs of machines, progress values that tell their size, several machines in a
# record of those to be released, jobs that await others.
COMPACT_FORMAT = 2
# A block's machines may stand in several values, its parts.
PAGED_FORMAT = 3
NEWEST_FORMAT = PAGED_FORMAT
