"""The mesh node, a daemon next to an endpoint.

Routes requests by host and path; all of its rules come from one published policy.
"""
