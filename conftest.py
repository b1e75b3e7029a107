"""Settings of every test run: the same examples each time, no clock in the verdict."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
