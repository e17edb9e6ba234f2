// SIGHUP, SIGTERM and SIGINT as events of a loop.
#pragma once

#include <functional>

#include "net/loop.h"

namespace gannetcourse::daemon {

// Blocks these signals: they wait until Signals reads them. To be called as the first thing of a process, so
// that none ends it while it starts.
void blockSignals();

// To be made before any other thread starts: threads inherit that these signals are blocked.
class SignalWatcher final : private net::Watcher {
 public:
  SignalWatcher(net::Loop& loop, std::function<void(int)> tell);  // throws std::system_error
  ~SignalWatcher() override;

 private:
  void onReady(const net::Ready& ready) override;

  net::Loop& loop_;
  std::function<void(int)> onSignal_;
  int fd_ = -1;
};

}  // namespace gannetcourse::daemon
