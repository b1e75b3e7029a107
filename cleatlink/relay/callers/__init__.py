"""The callers' side: their connections, the front, and the pages of an instance."""
