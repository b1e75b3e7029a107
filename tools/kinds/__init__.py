"""Compares two commits on benchmark days, for kinds of engines that no policy was tuned for."""
