"""The records that controllers share in the state service: formats, encodings, copies, updates."""
