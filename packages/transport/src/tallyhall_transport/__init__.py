"""Messages between instances over gRPC.

sender.py and server.py exchange batches in unary calls; peer_streams.py keeps a
stream from each instance to each of its peers.
"""
