"""How ``limits.memory_mb`` is divided: what is set aside, the size of the journal, the number of connections."""

from __future__ import annotations

from dataclasses import dataclass

from kestrelspar.runtime.buffers import BUFFER_SIZE
from kestrelspar.runtime.memory import MB, Holder, MemoryAccount

DEFAULT_PROGRAM_SIZE = 24 * MB  # where the system does not tell what the process holds
ANSWERS_SIZE = 2 * MB  # for lists, notices and the connections to the platform
FILES_SHARE = 0.4  # of what is left for files and clients
CONNECTIONS_SHARE = 0.4  # of what is left for clients
CONNECTION_SIZE = 7_000  # bytes: a task, a stream, and a short head that is being received
MIN_JOURNAL_BYTES = 128 * 1024
MIN_CONNECTIONS = 8
SCARCE = 2 * MB  # with less left for messages, a courier accepts few
# Of what is not set aside: the most that each holder may take while others need it.
MAX_SHARES = {Holder.REQUESTS: 0.25, Holder.SESSIONS: 0.25, Holder.MESSAGES: 0.8, Holder.ENDED: 0.1}


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """What follows from the account for the parts of the program. Sizes are bytes."""

    account: MemoryAccount
    journal: int  # size limit of the journal's file and its compacted copy
    connections: int  # maximum number of clients' connections
    is_scarce: bool  # so little is left that few messages can be accepted


def divide(
    memory: int, resident: int, slots: int, journal_bytes: int, other_files: int, connections: int
) -> MemoryLimits:
    """Divide the memory limit.

    ``resident``: what the process holds so far; 0 if unknown. ``journal_bytes``: room on disk for the journal.
    ``other_files``: most bytes of the other files. ``connections``: as many as descriptors allow.
    """
    account = MemoryAccount(memory, MAX_SHARES)
    account.set_aside(Holder.PROGRAM, resident or DEFAULT_PROGRAM_SIZE)
    account.set_aside(Holder.ANSWERS, ANSWERS_SIZE + slots * BUFFER_SIZE)
    account.set_aside(Holder.FILES, other_files)
    journal = min(journal_bytes, max(MIN_JOURNAL_BYTES, int(FILES_SHARE * account.free)))
    account.set_aside(Holder.FILES, journal)
    affordable = int(CONNECTIONS_SHARE * account.free) // CONNECTION_SIZE
    connections = max(MIN_CONNECTIONS, min(connections, affordable))
    account.set_aside(Holder.CONNECTIONS, connections * CONNECTION_SIZE)
    return MemoryLimits(account, journal, connections, account.free < SCARCE)
