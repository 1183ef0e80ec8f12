"""The daemon: a thin shell of I/O round the decisions."""
