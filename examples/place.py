"""Places one request with the library alone, without a daemon, a network or a clock.

Run it from the root of the repository: ``python -m examples.place``.
"""

import random
from pathlib import Path

from cleatlink.config import load_configuration
from cleatlink.core.data import Endpoint, Fleet, LoadReport, Request, Role
from cleatlink.routing import Context, FleetView, place_request

text = Path(__file__).with_name("bublina.yaml").read_text()
configuration, faults = load_configuration(text)
assert configuration is not None, faults

view = FleetView()
view.set_configuration(configuration)
prefill = Endpoint("p1", "10.0.0.1:80", "praha-a", "bublina-prefill")
decode = Endpoint("d1", "10.0.0.2:80", "praha-a", "bublina-decode")
view.update_fleet(Fleet(1, (prefill, decode), ()))
for name, role in (("p1", Role.PREFILL), ("d1", Role.DECODE)):
    view.add_report(LoadReport(name, "1", role, 16, 3, 0, 200_000, 90_000, False, 50_000.0), 0.0)

request = Request(
    "r1", "reader", "lm-bublina", "bublina-translate", "translation", 900, 120, 7, 20.0
)
context = Context("praha-a", frozenset(), 0.1, random.Random(1))
print(place_request(request, configuration.classes["translation"], view, context))
