"""The Association's example as separate processes on loopback: fleet, load, scenarios and report."""
