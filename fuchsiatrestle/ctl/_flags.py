"""Flags of ``fuchsiatrestle-ctl``."""

import os

from absl import flags

from fuchsiatrestle import settings

__all__ = ('ENTRIES_VARIABLE', 'COMMON_FLAGS', 'make_flags')

ENTRIES_VARIABLE = 'FUCHSIATRESTLE_ENTRIES'
DEFAULT_ENTRIES = '127.0.0.1:8082'
DEFAULT_TIMEOUT_S = 5.0

# Flags that every command takes.
COMMON_FLAGS = ('entry', 'json', 'timeout_s', 'author', 'help', 'version')


def _get_default_entries():
    return os.environ.get(ENTRIES_VARIABLE, DEFAULT_ENTRIES).split()


class _AddressParser(flags.ArgumentParser):
    """Parses the value of a flag that is an address."""

    syntactic_help = 'IP:port'

    def parse(self, argument):
        """Returns the ``settings.Address`` of a text ``IP:port``.

        A default may be an address already.

        Raises:
            ValueError: the text is no address.
        """
        if isinstance(argument, settings.Address):
            return argument
        return settings.Address.parse(argument)


def _define_common_flags(flag_values):
    flags.DEFINE_multi(
        _AddressParser(),
        flags.ArgumentSerializer(),
        'entry',
        _get_default_entries(),
        'administration address of an entry, repeated: tried in turn '
        f'(default from {ENTRIES_VARIABLE}, space separated)',
        flag_values,
    )
    flags.DEFINE_bool('json', False, 'print JSON for programs', flag_values)
    flags.DEFINE_float(
        'timeout_s',
        DEFAULT_TIMEOUT_S,
        'timeout of one attempt, in seconds',
        lower_bound=0.1,
        upper_bound=600.0,
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'author', '', 'name kept in the history (default: user)', flag_values
    )
    flags.DEFINE_bool('help', False, 'print the help and exit', flag_values)
    flags.DEFINE_bool(
        'version', False, 'print the version and exit', flag_values
    )


def _define_config_flags(flag_values):
    flags.DEFINE_integer(
        'base',
        None,
        'version that the patch builds on',
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'patch_id',
        '',
        'identifier of the patch, the same for a resend',
        flag_values,
    )
    flags.DEFINE_multi_string(
        'set',
        [],
        'service.NAME.KEY=VALUE (entry., team. too), repeated; an empty '
        'value removes the key',
        flag_values=flag_values,
    )
    flags.DEFINE_float(
        'wait_s',
        0.0,
        'seconds to wait until the version is in force everywhere',
        lower_bound=0.0,
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'version_number',
        0,
        'version to show, 0 for the current one',
        lower_bound=0,
        flag_values=flag_values,
    )


def _define_job_filter_flags(flag_values):
    flags.DEFINE_string('state', '', 'only jobs in this state', flag_values)
    flags.DEFINE_string(
        'after', '', 'list the jobs after this one', flag_values
    )
    flags.DEFINE_integer(
        'limit', 100, 'lines a page', lower_bound=1, flag_values=flag_values
    )


def _define_job_flags(flag_values):
    flags.DEFINE_string('file', '', 'JSON list of jobs', flag_values)
    flags.DEFINE_string('team', '', 'team the job counts against', flag_values)
    flags.DEFINE_string(
        'job_class', 'default', 'class of the job', flag_values
    )
    flags.DEFINE_integer(
        'priority',
        5,
        '0 (first) to 9',
        lower_bound=0,
        upper_bound=9,
        flag_values=flag_values,
    )
    integer_flags = (
        ('cpu_milli', 1000, 'processor time, thousandths of a core'),
        ('memory_mib', 1024, 'memory, MiB'),
        ('accelerators', 0, 'whole accelerators'),
        ('run_ms', 0, 'declared run time, 0 if unknown'),
        ('submitted_ms', 0, 'time of the first sending, kept on a resend'),
    )
    for name, default, help_text in integer_flags:
        flags.DEFINE_integer(
            name, default, help_text, lower_bound=0, flag_values=flag_values
        )
    flags.DEFINE_bool(
        'billed', False, 'non-idempotent: starts at most once', flag_values
    )
    flags.DEFINE_string(
        'deadline',
        '',
        'ISO 8601 time with offset, such as 2026-12-05T06:00:00+08:00',
        flag_values,
    )
    flags.DEFINE_string(
        'data_centre', '', 'the only data centre it may run in', flag_values
    )
    flags.DEFINE_string('command', '', 'what the worker runs', flag_values)
    flags.DEFINE_bool(
        'urgent', False, 'start within the urgent bound', flag_values
    )


def make_flags():
    """Returns new ``absl.flags.FlagValues`` that define all flags."""
    flag_values = flags.FlagValues()
    flag_values.set_gnu_getopt(True)
    _define_common_flags(flag_values)
    _define_config_flags(flag_values)
    _define_job_filter_flags(flag_values)
    _define_job_flags(flag_values)
    return flag_values
