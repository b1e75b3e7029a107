"""The promises as scenarios, run over the whole instance in virtual time."""
