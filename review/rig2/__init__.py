"""What the cases of the second review share; see REPORT-2.md."""
