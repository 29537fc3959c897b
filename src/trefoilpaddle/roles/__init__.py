"""The two kinds of processes of the system: gateway and sidecar."""
