"""What every process of the serving layer uses: its clock, its log and its timeouts.

Entry and gateway instances both use this package; neither uses the other's.
"""
