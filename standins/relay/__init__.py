"""Simulated servers for tests of the relay: a configuration store, engines, plain services."""

from standins.relay.endless_answers import EndlessPart
from standins.relay.raw_server import RawCall, RawServer
from standins.relay.store import Store, StoreMode
from standins.relay.worker import Fault, Run, Worker

__all__ = ["EndlessPart", "Fault", "RawCall", "RawServer", "Run", "Store", "StoreMode", "Worker"]
