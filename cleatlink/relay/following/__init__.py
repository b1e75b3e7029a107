"""Follows the configuration service and keeps the instance's records up to date."""
