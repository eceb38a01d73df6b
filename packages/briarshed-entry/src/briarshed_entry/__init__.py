"""The entry of briarshed: serves callers, operators and peers."""
