"""The one record of each request and the reports made from it."""
