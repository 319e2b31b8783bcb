"""The fleet: sizing, rentals and releases, and the cloud's catalog and list of machines."""
