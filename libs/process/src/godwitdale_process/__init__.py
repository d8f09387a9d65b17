"""What every process of the system needs: a clock and a life cycle."""
