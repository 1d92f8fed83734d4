"""The control daemon: tasks around agreement, state and scheduling."""
