"""Adapter to the platform that the product runs on.

The platform's headers, setting names and stored formats are known to this
package alone, which decodes them once into typed fields.
"""
