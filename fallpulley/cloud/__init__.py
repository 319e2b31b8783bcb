"""Messages of the cloud's API, and the offers by which machines are rented."""
