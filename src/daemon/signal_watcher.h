// Delivers SIGHUP, SIGTERM and SIGINT as events of a loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace gannetcourse::daemon {

/// Blocks SIGHUP, SIGTERM and SIGINT: they stay pending until a SignalWatcher reads them. Must be called
/// early in main(), so that no signal terminates the process during its start.
void blockSignals();

/// Calls `onSignal` from the loop with the number of each received signal. Must be created before any other
/// thread starts: threads inherit the mask that blocks the signals. The loop must outlive it.
class SignalWatcher final : private net::Watcher {
 public:
  /// Throws std::system_error if no descriptor is available.
  SignalWatcher(net::Loop& loop, std::function<void(int)> onSignal);
  ~SignalWatcher() override;
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  void onReady(const net::Ready& ready) override;

  net::Loop& loop_;
  std::function<void(int)> onSignal_;
  int fd_ = -1;
};

}  // namespace gannetcourse::daemon
