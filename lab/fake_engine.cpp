#include "fake_engine.h"

#include <algorithm>
#include <utility>

#include "grpc/server_connection.h"

namespace gannetcourse::lab {
namespace {

// The zone from the user-agent of a node, which is "gannetcourse node/NAME zone/ZONE".
std::string zoneOf(const std::string& peer) {
  const auto at = peer.find("zone/");
  return at == std::string::npos ? std::string() : peer.substr(at + 5);
}

}  // namespace

std::uint32_t Testbed::zoneIndex(const std::string& zone) const {
  return static_cast<std::uint32_t>(std::find(zones.begin(), zones.end(), zone) - zones.begin());
}

FakeEngine::FakeEngine(Testbed& testbed, EngineSpec spec)
    : testbed_(testbed), model_(std::move(spec)), server_(testbed.loop, net::Endpoint{}) {
  testbed_.byAddress[address()] = this;
  registerHandlers();
  server_.isSuspendedFor = [this](const std::string& peer) {
    return silent_ || testbed_.isUnreachable(model_.spec().zone, zoneOf(peer));
  };
  server_.onRequestWhileSuspended = [this](const Call& call, std::string_view bytes) {
    recordUnhandledCall(call, bytes);
  };
  server_.onConnectionClosed = [this](const grpc::ServerConnection& connection) {
    std::vector<std::string> lost;
    for (const auto& [name, state] : states_) {
      if (state.connection == connection.id() && !state.fetching) lost.push_back(name);
    }
    for (const std::string& name : lost) dropState(name);
  };
}

FakeEngine::~FakeEngine() {
  *alive_ = false;
  testbed_.byAddress.erase(address());
}

void FakeEngine::registerHandlers() {
  const std::string service = "/gannetcourse.v1.Engine/";
  const auto handlerFor = [this](void (FakeEngine::*method)(const Call&, std::string_view)) {
    return [this, method](const Call& call, std::string_view bytes) { (this->*method)(call, bytes); };
  };
  server_.handle(service + "Prefill", handlerFor(&FakeEngine::prefill));
  server_.handle(service + "Decode", handlerFor(&FakeEngine::decode));
  server_.handle(service + "Reserve", handlerFor(&FakeEngine::reserve));
  server_.handle(service + "Release", handlerFor(&FakeEngine::release));
  server_.handle(service + "Fence", handlerFor(&FakeEngine::fence));
  server_.handle(service + "Probe", [this](const Call& call, std::string_view) { probe(call); });
}

Ledger::EngineInfo FakeEngine::engineInfo() const {
  return {model_.spec().id, testbed_.zoneIndex(model_.spec().zone), model_.spec().cell};
}

void FakeEngine::step(double now, double span) {
  if (crashed_) return;
  if (silent_ || testbed_.isolatedZone) poll();  // records calls that arrive, without handling them
  model_.step(now, silent_ ? 0 : span);
  if (!silent_) endLeases(now);
}

// ---- States ----
void FakeEngine::dropState(const std::string& state) {
  const auto it = states_.find(state);
  if (it == states_.end()) return;
  model_.releaseState(it->second.tokens);
  states_.erase(it);
  testbed_.ledger.onStateReleased(state, testbed_.now());
}

void FakeEngine::onStateFetched(const std::string& state) { dropState(state); }

void FakeEngine::setFetching(const std::string& state, bool on) {
  const auto it = states_.find(state);
  if (it != states_.end()) it->second.fetching = on;
}

// ---- Faults ----
void FakeEngine::crash() {
  if (std::exchange(crashed_, true)) return;
  poll();  // records calls that nodes closed before the crash
  silent_ = false;
  server_.rejectConnections(true);
  server_.abortAll();
  while (!openCalls_.empty()) onCallClosed(openCalls_.begin()->first);
  while (!states_.empty())
    dropState(std::string(states_.begin()->first));  // copies the key, since dropState() erases the entry
  model_.restart(std::nullopt);
}

void FakeEngine::setSilent(bool silent) {
  if (crashed_ || silent_ == silent) return;
  silent_ = silent;
  if (silent) testbed_.ledger.onEngineSilent(model_.spec().id);
  server_.suspend(silent);
}

void FakeEngine::restart() {
  if (failedFromOverload_) return;
  crash();  // resets the connections of a silent engine
  crashed_ = false;
  startedUnixMs_ = net::unixMillis();
  model_.restart(testbed_.now());
  testbed_.ledger.onEngineStarted(model_.spec().id, testbed_.now());
  server_.rejectConnections(false);
}

void FakeEngine::applyZoneIsolation() {
  if (testbed_.isolatedZone) testbed_.ledger.onEngineSilent(model_.spec().id);
  if (silent_ || crashed_) return;
  if (!testbed_.isolatedZone) return server_.suspend(false);
  server_.suspend(true, [this](const std::string& peer) {
    return testbed_.isUnreachable(model_.spec().zone, zoneOf(peer));
  });
}

}  // namespace gannetcourse::lab
