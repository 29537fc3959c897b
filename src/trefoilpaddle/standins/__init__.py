"""Small fakes of the platform and the targets, for tests and measurements."""
