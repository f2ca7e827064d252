"""Sockets, streams, HTTP/1.1 connections, record links, signals and memory limits, shared by both programs."""
