// Classifies errors of socket system calls: temporary faults of this machine or faults of the peer.
#pragma once

#include <cerrno>

namespace gannetcourse::net {

/// Whether an errno of socket(), connect() or accept() is caused by this machine, not by the peer.
inline bool isLocalFault(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:  // no free local port, or no entry in the routing cache
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case ENETUNREACH:
    case ENETDOWN:
    case EPERM:  // blocked by a local firewall
    case EACCES:
      return true;
    default:
      return false;
  }
}

/// Whether an errno of recv() or send() means that the kernel temporarily lacks memory.
inline bool isMemoryShortage(int error) { return error == ENOMEM || error == ENOBUFS; }

}  // namespace gannetcourse::net
