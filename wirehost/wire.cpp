#include "wire.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "action_encoder.h"
#include "event_decoder.h"
#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"

namespace gannetcourse::wire {
namespace {

using instance::Json;
using instance::MalformedInput;

/// One router instance of the simulator: its decision module and the names in its settings.
struct Instance {
  instance::InstanceNames names;
  Policy policy;
};

// Parses a line: an object with the message's name as its only key and the message's fields as the value.
Json parseMessage(const std::string& line) {
  Json message = Json::parse(line, nullptr, false);
  if (message.is_discarded()) throw MalformedInput("the line is not valid JSON");
  if (!message.is_object() || message.size() != 1)
    throw MalformedInput("the line is not an object with a single key");
  if (!message.begin().value().is_object()) throw MalformedInput("the message's fields are not an object");
  return message;
}

std::uint64_t requireUnsigned(const Json& fields, const char* key) {
  return instance::asUnsigned(instance::requireField(fields, key), key, UINT64_MAX);
}

/// Processes the messages of batches and collects the reply to each batch. Owns the router instances.
class BatchHost {
 public:
  /// Handles one line. Returns the reply if the line ends a batch, otherwise an empty string. Throws
  /// MalformedInput.
  std::string handleLine(const std::string& line) {
    const Json message = parseMessage(line);
    const std::string& name = message.begin().key();
    const Json& fields = message.begin().value();
    if (name == "frame") {
      beginBatch(fields);
      return {};
    }
    if (!inBatch_) throw MalformedInput("message '" + name + "' outside a batch; expected 'frame' first");
    if (name == "eob") return endBatch();
    handleMessage(name, fields);
    return {};
  }

  bool inBatch() const { return inBatch_; }

 private:
  void beginBatch(const Json& fields) {
    if (inBatch_) throw MalformedInput("message 'frame' before the batch's end; expected 'eob' first");
    now_ = Instant(Duration(instance::asNumber(instance::requireField(fields, "nowS"), "nowS")));
    batch_ = requireUnsigned(fields, "batch");
    inBatch_ = true;
    reply_.clear();
  }

  std::string endBatch() {
    inBatch_ = false;
    appendReply({{"yield", {{"batch", batch_}}}});
    return std::exchange(reply_, {});
  }

  void handleMessage(const std::string& name, const Json& fields) {
    const std::string instanceName = instance::requireString(fields, "who");
    if (name == "attach") {
      attach(instanceName, fields);
      return;
    }
    const auto it = instances_.find(instanceName);
    if (it == instances_.end())
      throw MalformedInput("message '" + name + "' for a router instance that is not attached");
    if (name == "destroy") {
      instances_.erase(it);
    } else {
      handleEvent(instanceName, it->second, name, fields);
    }
  }

  void attach(const std::string& instanceName, const Json& fields) {
    const Json& options = instance::requireField(fields, "options");
    if (!options.is_object()) instance::throwWrongType("options", "an object");
    instance::InstanceNames names;
    Policy policy(instance::readSettings(options, requireUnsigned(fields, "prng"), names));
    instances_.insert_or_assign(instanceName, Instance{std::move(names), std::move(policy)});
  }

  void handleEvent(const std::string& instanceName, Instance& instance, const std::string& name,
                   const Json& fields) {
    const std::optional<Event> event = decodeEvent(name, fields, instance.names);
    if (!event) return;
    actions_.clear();
    instance.policy.handle(now_, *event, actions_);
    for (const Action& action : actions_) appendReply(encodeAction(instanceName, action));
  }

  void appendReply(const Json& message) { reply_.append(message.dump()).push_back('\n'); }

  std::map<std::string, Instance> instances_;
  std::vector<Action> actions_;  // of the latest event; a member to reuse its memory
  std::string reply_;
  Instant now_;
  std::uint64_t batch_ = 0;
  bool inBatch_ = false;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  BatchHost host;
  std::string line;
  for (std::uint64_t lineNumber = 1; std::getline(in, line); ++lineNumber) {
    try {
      const std::string reply = host.handleLine(line);
      if (!reply.empty()) out << reply << std::flush;
    } catch (const MalformedInput& error) {
      err << "gannetcourse_wirehost: line " << lineNumber << ": " << error.what() << '\n';
      return 1;
    }
  }
  if (!host.inBatch()) return 0;
  err << "gannetcourse_wirehost: input ends inside a batch\n";
  return 1;
}

}  // namespace gannetcourse::wire
