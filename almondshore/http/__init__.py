"""HTTP/1.1 over non-blocking sockets on eventlet's hub."""
