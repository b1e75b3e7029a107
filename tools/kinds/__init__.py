"""Plays kinds of engines that nobody tuned for, beside an earlier commit."""
