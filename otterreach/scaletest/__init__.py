"""A scale run on one machine: real processes beside hollow ones, and what each role costs at a size."""
