"""Adapter to the users' platform.

Nothing outside this package knows the platform's names: each is decoded
here, once, into a typed field of the product.
"""
