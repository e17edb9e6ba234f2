#include "daemon/configuration_reloader.h"

#include <exception>
#include <utility>

namespace gannetcourse::daemon {
namespace {

const Duration kRetryDelay{0.25};
constexpr int kMaxAttempts = 12;  // for each signal

}  // namespace

ConfigurationReloader::ConfigurationReloader(net::Loop& loop, std::string path, platform::Node& node,
                                             Log& log)
    : loop_(loop), path_(std::move(path)), node_(node), log_(log) {}

ConfigurationReloader::~ConfigurationReloader() { loop_.cancelTimer(retryTimer_); }

void ConfigurationReloader::reload() {
  attemptsLeft_ = kMaxAttempts;
  lastFailure_.clear();
  attempt();
}

void ConfigurationReloader::attempt() {
  loop_.cancelTimer(std::exchange(retryTimer_, 0));
  try {
    node_.reload(platform::loadConfiguration(path_));
    log_.write("daemon", "info", "configuration reloaded");
  } catch (const std::exception& error) {
    onFailure(error.what());
  }
}

void ConfigurationReloader::onFailure(const std::string& reason) {
  if (reason != lastFailure_)
    log_.write("daemon", "error", "reload refused, the old configuration stays: " + reason);
  lastFailure_ = reason;
  --attemptsLeft_;
  if (attemptsLeft_ <= 0) return;
  retryTimer_ = loop_.runAfter(kRetryDelay, [this] {
    retryTimer_ = 0;
    attempt();
  });
}

}  // namespace gannetcourse::daemon
