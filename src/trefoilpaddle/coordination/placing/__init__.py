"""Models on targets: what each should hold, and the orders for it."""
