"""What the relay needs to talk to endpoints: the wire, connections, and what answers tell."""
