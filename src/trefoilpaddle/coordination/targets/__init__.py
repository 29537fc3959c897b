"""Work at a target's sidecar: queued, started, streamed, ended."""
