"""Stand-ins that speak the users' platform's dialect, small, over real sockets."""
