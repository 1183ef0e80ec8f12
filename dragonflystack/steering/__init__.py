"""Which region and entry VM serve a caller: shares, shift cap, headroom."""
