"""Index of prefix blocks: which KV stores hold which prompt prefixes, and the updates of it for routers."""
