"""How many shards there are, how large each is, and the machines that move between them."""
