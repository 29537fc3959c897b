"""Gathering of request timelines and fleet status from peers for operators."""
