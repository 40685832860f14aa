"""Small stand-ins of the platform's store and endpoints, which speak its protocol over TCP."""
