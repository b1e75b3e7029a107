"""Routing: estimated state of the fleet, and placement of requests on it; no I/O."""

from cleatlink.routing.fleet_view import FleetView, Reservation
from cleatlink.routing.hashing import hash_prefix, rank_names
from cleatlink.routing.placement import (
    Context,
    note_decode_started,
    place_plain_call,
    place_request,
    release_request,
    reserve_request,
)
from cleatlink.routing.wait_queue import WaitQueue

__all__ = [
    "Context",
    "FleetView",
    "Reservation",
    "WaitQueue",
    "hash_prefix",
    "note_decode_started",
    "place_plain_call",
    "place_request",
    "rank_names",
    "release_request",
    "reserve_request",
]
