"""A randomized soak: real programs under faults from outside, judged by what others saw."""
