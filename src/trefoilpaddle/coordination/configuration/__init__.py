"""The catalogue: read, validated, spread among peers and activated."""
