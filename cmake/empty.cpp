// Placeholder source for a library target whose folder has no sources.
