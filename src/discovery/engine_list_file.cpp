#include "discovery/engine_list_file.h"

#include <set>

#include "config/xml.h"

namespace gannetcourse::discovery {
namespace {

const char* nameOf(Role role) {
  if (role == Role::kPrefill) return "prefill";
  return role == Role::kDecode ? "decode" : "mixed";
}

Role roleOf(const std::string& name) {
  if (name == "prefill") return Role::kPrefill;
  return name == "decode" ? Role::kDecode : Role::kMixed;
}

const char* nameOf(EngineEntry::State state) {
  return state == EngineEntry::State::kServing ? "serving" : "draining";
}

EngineEntry::State stateOf(const std::string& name) {
  return name == "serving" ? EngineEntry::State::kServing : EngineEntry::State::kDraining;
}

Engine readEngine(const config::Element& element, const EntryResolver& resolver,
                  std::vector<config::Fault>& faults) {
  Engine engine;
  engine.entry.id = {static_cast<std::uint32_t>(element.count("id", 0))};
  engine.entry.role = roleOf(element.text("role"));
  engine.entry.cell = static_cast<std::uint32_t>(element.count("cell", 0));
  engine.entry.memoryTokens = element.number("memory-tokens", 0);
  engine.entry.state = stateOf(element.text("state", "serving"));
  engine.zone = element.text("zone");
  engine.startedUnixMs = static_cast<std::int64_t>(element.number("started-unix-ms", 0));
  engine.shutdownUnixMs = static_cast<std::int64_t>(element.number("leaves-unix-ms", 0));
  const auto address = net::parseEndpoint(element.text("address"));
  if (!address || address->port == 0) {
    faults.push_back(
        element.fault("address '" + element.text("address") + "' is not an IPv4 address and port",
                      "write a.b.c.d:port with a port from 1 to 65535"));
  } else {
    engine.address = *address;
  }
  resolver.resolve(engine);
  return engine;
}

std::string formatEngine(const Engine& engine) {
  const EngineEntry& entry = engine.entry;
  return "  <engine id=\"" + std::to_string(entry.id.value) +
         "\" address=" + config::quotedAttribute(engine.address.text()) + " role=\"" + nameOf(entry.role) +
         "\" zone=" + config::quotedAttribute(engine.zone) + " cell=\"" + std::to_string(entry.cell) +
         "\" memory-tokens=\"" + std::to_string(static_cast<std::uint64_t>(entry.memoryTokens)) +
         "\" state=\"" + nameOf(entry.state) + "\" started-unix-ms=\"" +
         std::to_string(engine.startedUnixMs) + "\" leaves-unix-ms=\"" +
         std::to_string(engine.shutdownUnixMs) + "\"/>\n";
}

}  // namespace

EngineList loadEngineListFile(const std::string& path, const EntryResolver& resolver) {
  const config::Document document = config::Document::load(path, engineListSchema());
  EngineList list;
  list.version = document.root().count("version", 0);
  std::vector<config::Fault> faults;
  std::set<EngineId> ids;
  for (const config::Element& element : document.root().children()) {
    list.engines.push_back(readEngine(element, resolver, faults));
    const EngineId id = list.engines.back().entry.id;
    if (!ids.insert(id).second)
      faults.push_back(
          element.fault("engine " + std::to_string(id.value) + " is defined more than once", "remove one"));
  }
  if (!faults.empty()) throw config::InvalidFile(std::move(faults));
  return list;
}

std::string formatEngineList(const EngineList& list) {
  std::string text =
      "<fleet xmlns=\"urn:gannetcourse:fleet:1\" version=\"" + std::to_string(list.version) + "\">\n";
  for (const Engine& engine : list.engines) {
    if (engine.entry.state != EngineEntry::State::kRemoved) text += formatEngine(engine);
  }
  return text + "</fleet>\n";
}

}  // namespace gannetcourse::discovery
