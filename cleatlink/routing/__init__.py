"""Routing: estimated state of the fleet, and placement of requests on it; no I/O."""

from cleatlink.routing.place import (
    Context,
    note_decode,
    place_call,
    place_request,
    release_request,
    reserve_request,
)
from cleatlink.routing.prefix import hash_prefix, rank_names
from cleatlink.routing.view import FleetView, Reservation
from cleatlink.routing.waiting import WaitingRoom

__all__ = [
    "Context",
    "FleetView",
    "Reservation",
    "WaitingRoom",
    "hash_prefix",
    "note_decode",
    "place_call",
    "place_request",
    "rank_names",
    "release_request",
    "reserve_request",
]
