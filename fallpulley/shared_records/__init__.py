"""Formats, encodings, local copies and updates of the records that controllers share."""
