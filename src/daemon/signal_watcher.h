// SIGHUP, SIGTERM and SIGINT as events of a loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace gannetcourse::daemon {

/// Blocks these signals: they wait until a SignalWatcher reads them. To be called first in a process, so that
/// no signal ends it while it starts.
void blockSignals();

/// Calls `onSignal` with the number of each such signal, from the loop. To be made before any other thread
/// starts: threads inherit that the signals are blocked.
class SignalWatcher final : private net::Watcher {
 public:
  /// Throws std::system_error where no descriptor can be had.
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
