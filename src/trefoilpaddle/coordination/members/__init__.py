"""Who is there: members, links between them, silence and waking."""
