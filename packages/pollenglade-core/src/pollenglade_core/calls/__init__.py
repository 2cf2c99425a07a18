"""Call contexts, call handles, outcomes, retries and call counts."""
