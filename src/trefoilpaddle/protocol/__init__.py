"""Messages, their codec and the errors that pass between processes."""
