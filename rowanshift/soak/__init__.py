"""The soak: real processes of the whole system under drawn troubles, and a checker over what was recorded."""
