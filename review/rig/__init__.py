"""Parts that the scripts of the second review share: processes of the system, and stand-ins that follow the pages."""
