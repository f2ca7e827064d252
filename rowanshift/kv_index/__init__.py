"""Index of prefix blocks: which stores hold which parts of prompts, and how that is passed on to routers."""
