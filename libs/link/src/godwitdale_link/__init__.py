"""Protocol, client and server of the link between an entry and an agent."""

from godwitdale_link import answers
from godwitdale_link import attempt_history
from godwitdale_link import client
from godwitdale_link import framing
from godwitdale_link import messages
from godwitdale_link import server

__all__ = [
    "answers",
    "attempt_history",
    "client",
    "framing",
    "messages",
    "server",
]
