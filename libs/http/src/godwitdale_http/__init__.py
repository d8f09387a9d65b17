"""HTTP/1.1 connections to callers and endpoints, with Twisted and h11."""
