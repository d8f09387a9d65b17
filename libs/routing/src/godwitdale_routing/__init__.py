"""Pure decisions: choice of endpoint, queueing, limits and retries."""
