"""Stand-ins and process control that the scripts of the second review share."""
