// Which errors of system calls on sockets are this machine's own and may pass.
#pragma once

#include <cerrno>

namespace gannetcourse::net {

/// Whether an errno of socket(), connect() or accept() is a fault of this machine, not of the peer.
inline bool isLocalFault(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:  // no local port, or no entry in the routing cache
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case ENETUNREACH:
    case ENETDOWN:
    case EPERM:  // a local firewall
    case EACCES:
      return true;
    default:
      return false;
  }
}

/// Whether an errno of recv() or send() says that the kernel lacks memory for the moment.
inline bool lacksMemory(int error) { return error == ENOMEM || error == ENOBUFS; }

}  // namespace gannetcourse::net
