#include "daemon/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace gannetcourse::daemon {
namespace {

spdlog::level::level_enum levelOf(router::RecordKind kind) {
  switch (kind) {
    case router::RecordKind::kInvariantViolation:
      return spdlog::level::err;
    case router::RecordKind::kServed:
    case router::RecordKind::kRejected:
    case router::RecordKind::kFailed:
    case router::RecordKind::kDeadlineExceeded:
    case router::RecordKind::kClientDisconnected:
    case router::RecordKind::kDraining:
    case router::RecordKind::kReconfigured:
      return spdlog::level::info;
    default:
      return spdlog::level::debug;
  }
}

spdlog::sink_ptr openSink(const std::string& file) {
  try {
    if (file.empty()) return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  } catch (const spdlog::spdlog_ex& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace

class Log::Impl {
 public:
  Impl(const std::string& file, std::size_t queueLines)
      : pool_(std::make_shared<spdlog::details::thread_pool>(queueLines, 1)) {
    logger_ = std::make_shared<spdlog::async_logger>("gannetcourse", openSink(file), pool_,
                                                     spdlog::async_overflow_policy::overrun_oldest);
    logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})");
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::warn);
  }
  ~Impl() {
    logger_->flush();
    pool_.reset();  // writes the queued lines and joins the thread; the logger must still exist
  }

  void setLevels(const std::string& level, const std::map<std::string, std::string>& packages) {
    level_ = spdlog::level::from_str(level);
    packages_.clear();
    for (const auto& [package, name] : packages) packages_[package] = spdlog::level::from_str(name);
  }

  bool isEnabled(const std::string& package, spdlog::level::level_enum level) const {
    const auto it = packages_.find(package);
    return level >= (it == packages_.end() ? level_ : it->second);
  }

  void write(spdlog::level::level_enum level, const nlohmann::ordered_json& fields) {
    const std::string object = fields.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    logger_->log(level, spdlog::string_view_t(object.data() + 1, object.size() - 2));  // without the braces
  }

 private:
  std::shared_ptr<spdlog::details::thread_pool> pool_;
  std::shared_ptr<spdlog::logger> logger_;
  spdlog::level::level_enum level_ = spdlog::level::info;
  std::map<std::string, spdlog::level::level_enum> packages_;
};

Log::Log(const std::string& file, std::size_t queueLines) : impl_(std::make_unique<Impl>(file, queueLines)) {}

Log::~Log() = default;

void Log::close(Duration timeout) {
  std::promise<void> written;
  const std::future<void> done = written.get_future();
  std::thread writer([impl = std::move(impl_), &written]() mutable {
    impl.reset();
    written.set_value();
  });
  // The thread may block on its disk for ever and still uses the log: _Exit runs no destructors.
  if (done.wait_for(timeout) != std::future_status::ready) std::_Exit(0);
  writer.join();
}

void Log::setLevels(const std::string& level, const std::map<std::string, std::string>& packages) {
  impl_->setLevels(level, packages);
}

void Log::write(const std::string& package, const std::string& level, const std::string& text) {
  if (!impl_) return;
  const auto value = spdlog::level::from_str(level);
  if (impl_->isEnabled(package, value)) impl_->write(value, {{"package", package}, {"text", text}});
}

void Log::write(const router::Record& record) {
  if (!impl_) return;
  const auto level = levelOf(record.kind);
  if (!impl_->isEnabled("router", level)) return;
  nlohmann::ordered_json fields = {{"package", "router"}, {"action", nameOf(record.kind)}};
  fields["at"] = record.at.time_since_epoch().count();
  if (!record.request.empty()) fields["request"] = record.request;
  if (record.engine) fields["engine"] = record.engine->value;
  if (record.attempt >= 0) fields["attempt"] = record.attempt;
  if (!record.reason.empty()) fields["why"] = record.reason;
  impl_->write(level, fields);
}

}  // namespace gannetcourse::daemon
