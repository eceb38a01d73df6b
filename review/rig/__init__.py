"""Small deployment for the scripts of a review: entries, workers, store and callers."""
