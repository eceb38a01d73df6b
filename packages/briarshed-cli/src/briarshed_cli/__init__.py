"""The command line of briarshed for operators."""
