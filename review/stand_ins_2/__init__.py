"""Stand-ins for the second review: platform, servers and clients; no libraries.

They speak what the users' PROTOCOL.md says, over loopback addresses.
"""
