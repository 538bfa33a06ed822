"""Fault injection and model checking of failover and the control log."""
