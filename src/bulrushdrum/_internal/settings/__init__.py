"""Settings files in JSON with comments, validated completely at start-up."""
