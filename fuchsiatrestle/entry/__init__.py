"""The entry daemon, which forwards the requests of callers to upstreams.

The routing core, ``routing.Core``, decides without I/O which upstream gets a
request.  Control is the group of control replicas.  A claim is the right to
run a request that must not run twice; control grants it for an idempotency
key.

* ``_daemon``: starts and stops the listeners and tasks,
* ``_caller_path``: builds the objects that one request passes through,
* ``_callers``: answers callers' requests,
* ``_exchange``: sends one request to one upstream and receives the answer,
* ``_router``: runs the routing core and carries its effects out,
* ``_connections``: keeps idle connections to upstreams,
* ``_platform``: receives announcements of upstreams and reports of workers,
* ``_claims`` and ``_reports``: send claims and reports to control in batches,
* ``_local``: connects the administration API with this entry.
"""
