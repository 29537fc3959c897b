"""Fleet membership: member records, links to peers, failure and pause detection."""
