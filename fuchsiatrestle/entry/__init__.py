"""The entry daemon: tasks around the routing decisions."""
