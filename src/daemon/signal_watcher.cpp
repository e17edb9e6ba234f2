#include "daemon/signal_watcher.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace gannetcourse::daemon {

namespace {

sigset_t handledSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&set, number);
  return set;
}

}  // namespace

void blockSignals() {
  const sigset_t set = handledSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

SignalWatcher::SignalWatcher(net::Loop& loop, std::function<void(int)> onSignal)
    : loop_(loop), onSignal_(std::move(onSignal)) {
  blockSignals();
  const sigset_t set = handledSignals();
  fd_ = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "signalfd");
  loop_.watch(fd_, this);
}

SignalWatcher::~SignalWatcher() {
  loop_.unwatch(fd_);
  close(fd_);
}

void SignalWatcher::onReady(const net::Ready&) {
  signalfd_siginfo info{};
  while (read(fd_, &info, sizeof info) == sizeof info) onSignal_(static_cast<int>(info.ssi_signo));
}

}  // namespace gannetcourse::daemon
