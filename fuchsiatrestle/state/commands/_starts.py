"""What became of a worker after it was ordered to start something."""

__all__ = ('StartOutcome',)


class StartOutcome:
    """What became of a worker after it was ordered to start a run."""

    UNKNOWN = ''
    # Its process ended, perhaps before it had begun the run or long after it.
    MAY_HAVE_CRASHED = 'may_have_crashed'
    SURVIVED = 'survived'  # it was alive for a while with the run
    CRASHED = 'crashed'  # its process ended without a sign of life after it
