"""The journal in the state directory: accepted messages, their delivery attempts and their final states."""

from kestrelspar.journal.records import Entry
from kestrelspar.journal.store import Journal

__all__ = ["Entry", "Journal"]
