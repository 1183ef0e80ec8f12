"""The life of a request: identity, admission, deadlines, retries."""
