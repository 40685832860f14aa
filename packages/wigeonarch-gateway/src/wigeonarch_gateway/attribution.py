"""Decides to which dispatch a response belongs, so that only promises that were given are believed.

An endpoint may send a response twice, the second copy late, at the point where the next response is
expected. What such a copy says was true of an earlier dispatch. If a refusal that comes late is
taken for the answer to a later dispatch, a request counts as not run while it runs. A response
tells the id of its request at most, and two dispatches of one request have the same.

What is certain, and why it is enough:

- A request is never sent twice on one connection. So a response that names it belongs to its only
  dispatch there, however late it comes.
- A response that names no request may belong to anything that was sent on its connection. So it is
  believed only if nothing else was.
- A request without an id can't be named. So it is sent on a new connection, where at most a report
  was asked for, whose copies are neither answers nor refusals.
"""

from __future__ import annotations

from collections.abc import Set


def may_carry(request_id: str, used: Set[int], number: int, sent_before: int) -> bool:
    """Tells whether a request may be sent on a connection.

    Args:
        request_id: The request's id; empty if it has none.
        used: Numbers of the connections on which it was sent before.
        number: Number of the connection.
        sent_before: Requests and calls that were sent on the connection.
    """
    if number in used:
        return False
    return bool(request_id) or not sent_before


def is_certain(request_id: str, answered_id: str | None, sent_before: int) -> bool:
    """Tells whether a response is certainly the answer to a request that `may_carry` allowed.

    Args:
        request_id: The request's id; empty if it has none.
        answered_id: The id that the response names; None if it names none.
        sent_before: Requests and calls that were sent on the connection before the request.
    """
    if not request_id:
        return True
    return answered_id == request_id or not sent_before
