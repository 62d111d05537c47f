"""Load, faults, histograms and reports, against real processes."""
