"""Communication of the relay with endpoints: protocol, connections, notices, crash detection."""
