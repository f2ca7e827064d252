"""``rowanshift fuzz``: sends malformed messages to the ports of a small running system and judges what it does."""
