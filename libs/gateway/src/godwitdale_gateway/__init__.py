"""An entry that forwards requests to endpoints over HTTP, without agents."""
