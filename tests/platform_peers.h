// Scripted clients, engines and discovery for tests of a platform node. They use loopback sockets whose ports
// the kernel assigns.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "http1/parser.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"

namespace gannetcourse::test {

inline std::string chunkOf(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string eventOf(const std::string& text) { return "data: {\"content\":\"" + text + "\"}\n\n"; }
inline const std::string kDone = "data: [DONE]\n\n";

// One end of a connection. Stores all bytes that it receives and sends the bytes that a test passes to it.
class Peer final : public net::ConnectionOwner {
 public:
  explicit Peer(net::Loop& loop) : connection(loop, *this) {}
  void onBytes(std::span<const std::uint8_t> bytes) override {
    received.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    if (onReceived) onReceived();
  }
  void onConnected() override { connection.flush(); }
  void onWritable() override {}
  void onClosed(const std::string&) override { closed = true; }
  void send(const std::string& text) {
    connection.append(text);
    connection.flush();
  }
  void disconnect(bool reset) {
    if (reset) {
      connection.abort();
    } else {
      connection.close();
    }
  }
  bool hasReceived(const std::string& text) const { return received.find(text) != std::string::npos; }

  net::Connection connection;
  std::string received;
  bool closed = false;
  std::function<void()> onReceived;
};

// An HTTP/1.1 server that calls a script for each request, one at a time on each connection. It records the
// requests and owns the accepted connections.
class ScriptedServer {
 public:
  using Script = std::function<void(Peer&, const http1::Request&)>;
  ScriptedServer(net::Loop& loop, Script script)
      : loop_(loop),
        script(std::move(script)),
        listener(loop, net::Endpoint{}, [this](int fd) { accept(fd); }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
  std::size_t count(const std::string& method, const std::string& target) const {
    std::size_t n = 0;
    for (const auto& r : requests) n += r.method == method && r.target == target;
    return n;
  }

 private:
  void accept(int fd) {
    peers.push_back(std::make_shared<Peer>(loop_));
    const auto peer = peers.back().get();
    const auto parser = std::make_shared<http1::RequestParser>(http1::Limits{});
    peer->onReceived = [this, peer, parser] {
      parser->append(std::exchange(peer->received, {}));
      while (parser->parse() == http1::ParseState::kComplete) {
        requests.push_back(parser->request());
        const http1::Request request = std::move(parser->request());
        parser->startNextRequest();
        script(*peer, request);
        if (!parser->hasPartialRequest()) break;
      }
    };
    peer->connection.adopt(fd);
  }

  net::Loop& loop_;

 public:
  Script script;
  std::vector<http1::Request> requests;
  std::list<std::shared_ptr<Peer>> peers;
  net::Listener listener;
};

}  // namespace gannetcourse::test
