"""The instance's process and the command line, thin over the libraries."""
