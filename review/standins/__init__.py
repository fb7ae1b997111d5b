"""Stand-ins for the platform, its servers and its callers, shared by the cases of the review.

They use the standard library only and speak what the users' pages say.
"""
