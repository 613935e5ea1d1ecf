"""Small stand-ins for the external systems that cuminwall depends on."""
