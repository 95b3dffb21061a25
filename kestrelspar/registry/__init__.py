"""Endpoint lists from the key-value registries etcd and Consul."""
