"""Life cycle and clock of a daemon process."""
