def report(results): return []
