"""Delivery attempts to contractors: deliver_sm on a session that their account has bound to receive."""

from __future__ import annotations

from collections.abc import Callable

from kestrelspar.core.messages import Message, Result
from kestrelspar.core.transport_map import NextHop, SendGuard
from kestrelspar.runtime import logs
from kestrelspar.runtime.buffers import DeadlineExceededError
from kestrelspar.runtime.loop import MS, Loop
from kestrelspar.settings.resolve import Account
from kestrelspar.smpp import pdu as p
from kestrelspar.smpp import status_codes
from kestrelspar.smpp.pdu import Command, Pdu
from kestrelspar.smpp.session import NotSentError, Session, SessionLostError
from snowlock import interface as api
from snowlock.interface import Outcome

# Retry-after delays reported to the decision module.
NOT_BOUND_RETRY_AFTER = 500 * MS  # also if the client refuses a deliver_sm with a temporary error
WINDOW_FULL_RETRY_AFTER = 50 * MS
# Fields of submit_sm that a deliver_sm does not use.
_UNUSED_FIELDS = {
    "schedule_delivery_time": "",
    "validity_period": "",
    "registered_delivery": 0,
    "replace_if_present_flag": 0,
}


class Receivers:
    """Makes delivery attempts to contractors.

    ``find`` returns a session of the account with room in its window, or None, and whether any is bound to receive,
    with room or not; ``request_bind`` is called at each attempt to an account that has no such session.
    """

    def __init__(
        self,
        loop: Loop,
        accounts: tuple[Account, ...],
        response_timeout: int,
        find: Callable[[Account], tuple[Session | None, bool]],
        request_bind: Callable[[Account], None],
    ) -> None:
        self.loop, self._response_timeout, self._find, self._request_bind = loop, response_timeout, find, request_bind
        self._accounts = {
            b"account " + account.system_id.encode(): account for account in accounts if account.dest is not None
        }

    def hops(self) -> list[NextHop]:
        """The accounts with a destination as entries of the transport map; they have no address, as clients connect."""
        return [
            NextHop(api.Endpoint(name, account.dest, account.zone, account.kind), ("", 0), self)
            for name, account in self._accounts.items()
            if account.dest is not None
        ]

    def attempt(self, message: Message, hop: NextHop, deadline: int, guard: SendGuard) -> Result:
        """Make one delivery attempt: choose a session, send one deliver_sm, and return its outcome."""
        account = self._accounts[hop.endpoint.id]
        request = build_deliver_sm(message)
        try:
            p.encode(request)
        except ValueError as error:
            logs.warn("smpp-unsendable", trace=message.trace, hop=hop.name, why=str(error))
            return Result(Outcome.MOOT, note="message does not fit into a deliver_sm")
        session, bound = self._find(account)
        if session is None and not bound:
            self._request_bind(account)
            return Result(Outcome.CONNECT_FAILED, NOT_BOUND_RETRY_AFTER, note="not bound")
        if session is None:
            return Result(Outcome.MOOT, WINDOW_FULL_RETRY_AFTER, note="window full")
        if not guard():
            return Result(Outcome.MOOT, note="barred meanwhile")
        try:
            response = session.request(request, min(deadline, self.loop.now + self._response_timeout))
        except NotSentError:
            return Result(Outcome.CONNECT_FAILED, note="broke before the last byte")
        except SessionLostError:
            return Result(Outcome.RESET)
        except DeadlineExceededError:
            # A deliver_sm cannot be withdrawn, so its session is closed before the message may be sent on another one.
            session.close()
            return Result(Outcome.TIMEOUT)
        except Exception:
            session.close()  # the deliver_sm must not stay out where nobody waits for its response
            raise
        if response.command is not Command.DELIVER_SM_RESP:
            return Result(Outcome.ERROR, note=response.command.name.lower())
        return status_codes.result_of(response.status, NOT_BOUND_RETRY_AFTER)

    def close_idle(self, hop: NextHop) -> None:
        """Does nothing, as contractors open and close the sessions themselves."""


def build_deliver_sm(message: Message) -> Pdu:
    """The deliver_sm for a message from any front end; a body that does not fit, or came so, is a message_payload."""
    submitted = message.extra.get("smpp", {})
    fields = {name: submitted[name] for name in p.SM_FIELDS if name in submitted} | _UNUSED_FIELDS
    tlvs = [(int(tag), bytes.fromhex(value)) for tag, value in message.extra.get("tlvs", [])]
    if len(message.body) > 254 or message.extra.get("payload"):
        return Pdu(Command.DELIVER_SM, fields=fields, tlvs=[*tlvs, (p.MESSAGE_PAYLOAD, message.body)])
    return Pdu(Command.DELIVER_SM, fields=fields, message=message.body, tlvs=tlvs)
