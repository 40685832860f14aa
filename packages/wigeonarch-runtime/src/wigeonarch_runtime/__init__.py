"""What every process of the serving layer uses: its clock and its log.

Entry and gateway instances both use this package; neither uses the other's.
"""
