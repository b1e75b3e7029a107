"""Drivers of calls: plain ones and streams, and the room, prompts and holds that they need."""
