"""The journal in the folder that lasts: what the courier has taken on, and what became of it."""

from kestrelspar.journal.records import Entry
from kestrelspar.journal.store import Journal

__all__ = ["Entry", "Journal"]
