"""Decisions about requests: announcements, slots, queues, retries, claims."""
