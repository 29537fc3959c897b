"""The two processes of the system: gateway and sidecar."""
