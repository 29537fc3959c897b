"""The catalogue: read, checked, spread among peers, put in force."""
