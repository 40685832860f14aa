"""What every process of the serving layer stands on: its clock and its log.

Both kinds of instance use it, and neither of them the other.
"""
