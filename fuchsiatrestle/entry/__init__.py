"""The entry daemon: callers, upstreams, workers and operators meet here.

``_daemon`` starts everything; ``_router`` owns the routing core; ``_callers``
and ``_exchange`` carry one request; ``_platform`` takes announcements and
reports; ``_claims`` and ``_reports`` batch what goes to control.
"""
