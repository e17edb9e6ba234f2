// Incremental parsers of HTTP/1.1 requests and responses, based on Boost.Beast. They use neither sockets nor
// a clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gannetcourse::http1 {

/// Size limits of a message, in bytes.
struct Limits {
  std::uint32_t maxHeadBytes = 16 * 1024;  ///< Start line and header fields.
  std::uint64_t maxBodyBytes =
      256 * 1024;  ///< A request's body, a response's unless chunked, each chunk; 0 = unlimited.
  std::size_t maxPipelinedBytes = 512 * 1024;  ///< Input buffered behind the current message.
};

/// Header fields in the order of arrival. Names are compared case-insensitively. Holds them as text, so that
/// thousands of short fields take hardly more memory than their bytes.
class Fields {
 public:
  void add(std::string_view name, std::string_view value);
  /// The value of the first field called `name`, if there is one.
  std::optional<std::string> find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  /// Calls `visit` with the name and the value of each field.
  void forEach(const std::function<void(std::string_view name, std::string_view value)>& visit) const;
  std::size_t textSize() const { return lines_.size(); }  ///< Of all fields as header lines.
  /// Returns memory that was reserved for further fields.
  void shrinkToFit() { lines_.shrink_to_fit(); }
  std::uint64_t heldBytes() const;  ///< Memory allocated for the fields.

 private:
  std::string lines_;  // "name: value\r\n" for each field
};

/// Whether two field names are equal, ignoring case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// A complete request.
struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  bool keepAlive = true;  ///< The client wants to reuse the connection.
};

enum class ParseState { kNeedMore, kComplete, kMalformed };

/// Parses one request after another. A request that repeats Content-Length or Transfer-Encoding, or has both,
/// is malformed: it may hide another request in its body (request smuggling).
class RequestParser {
 public:
  explicit RequestParser(Limits limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Buffers bytes for parse(). Returns false and buffers nothing if the limits would be exceeded.
  bool append(std::string_view bytes);
  /// Parses the buffered bytes, at most to the end of one request.
  ParseState parse();
  /// The request; complete once parse() has returned kComplete. The caller may move it out.
  Request& request();
  int errorStatus() const;              ///< HTTP status of the response to a malformed request.
  bool hasPartialRequest() const;       ///< Some bytes of the next request have arrived.
  std::uint64_t inputMemory() const;    ///< Memory allocated for buffered bytes.
  std::uint64_t requestMemory() const;  ///< Memory allocated for the parsed part of the request.
  /// Memory that the request will need: by its announced length, or what it holds already.
  std::uint64_t expectedMemory() const;
  std::size_t unparsedBytes() const;  ///< Buffered bytes that have not been parsed yet.
  /// After kComplete: discards the request and continues with the bytes that follow it.
  void startNextRequest();
  /// Discards everything, the bytes that follow included.
  void clear();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Status and fields of a response.
struct ResponseHead {
  int status = 0;
  Fields fields;
};

/// Parses one response and passes its body on as it arrives. Skips informational responses (1xx) that precede
/// it.
class ResponseParser {
 public:
  /// Called from consume(); both must be set.
  struct Callbacks {
    std::function<void(const ResponseHead&)> onHead;
    std::function<void(std::string_view)> onBody;
  };
  ResponseParser(Limits limits, Callbacks callbacks);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  ParseState consume(std::string_view bytes);
  /// Memory allocated for buffered bytes and for the parsed head.
  std::uint64_t heldBytes() const;
  /// Whether a head or chunk has begun but is not complete.
  bool isInsideHeadOrChunk() const;
  /// Number of heads and chunks that have begun so far.
  std::uint64_t headsAndChunksStarted() const;
  /// Whether the response is complete, no bytes follow it, and the server keeps the connection alive.
  bool isConnectionReusable() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse::http1
