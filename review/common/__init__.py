"""Stand-ins of the platform, its replicas and its clients, for the cases beside this folder."""
