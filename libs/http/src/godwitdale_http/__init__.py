"""HTTP/1.1 channels over Twisted, framed by h11: callers and endpoints."""
