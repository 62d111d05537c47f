"""Messages between instances: batches over unary gRPC calls."""
