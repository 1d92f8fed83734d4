"""The control daemon: one replica of the agreed state of a cell.

A cell is the control replicas, entries and workers that share one agreed
state: the state after all committed commands of a replicated log.

``python -m fuchsiatrestle.control --config FILE`` runs it.  Tasks:

- the link task receives messages and passes each to the task that handles it;
- the replica task owns the agreement core, ``agreement.Replica``, which
  replicates the log;
- the storage thread owns the data folder and syncs several writes with one
  fsync;
- the state task owns the state machine and, while this replica leads, the
  leader's services;
- the order task holds back orders to workers while another replica may have
  been elected.

``program`` has what the programs need of this package.
"""
