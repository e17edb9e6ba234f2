// Incremental parsing of HTTP/1.1 messages, for both sides, on Boost.Beast's parser. No sockets or clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gannetcourse::http1 {

/// Limits of a message, in bytes.
struct Limits {
  std::uint32_t maxHeadBytes = 16 * 1024;      ///< Of a head.
  std::uint64_t maxBodyBytes = 256 * 1024;     ///< Of a body, and of one chunk; 0 = unlimited.
  std::size_t maxPipelinedBytes = 512 * 1024;  ///< That may wait behind a message.
};

/// Header fields in the order of arrival. Names are compared without case.
class Fields {
 public:
  void add(std::string name, std::string value);
  /// The first value under `name`, or null where the field is missing.
  const std::string* find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>>& all() const { return fields_; }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// Whether two field names are equal; case does not count.
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

/// Parses one request after another. Lengths that are repeated, conflict, or stand beside a
/// Transfer-Encoding are malformed: they may hide a request in a body (request smuggling).
class RequestParser {
 public:
  explicit RequestParser(Limits limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Buffers bytes for parse(). False, without buffering them, where the limits do not allow as many.
  bool append(std::string_view bytes);
  /// Parses what is buffered, up to the end of one request.
  ParseState parse();
  /// The request; complete once parse() has returned kComplete. The caller may move it out.
  Request& request();
  int errorStatus() const;              ///< HTTP status for a malformed request.
  bool hasPartialRequest() const;       ///< Bytes of an incomplete request have arrived.
  std::uint64_t bufferedBytes() const;  ///< Memory used for the request.
  std::size_t unparsedBytes() const;    ///< Bytes not parsed as part of a request yet.
  /// After kComplete: continues with the bytes that follow the request.
  void startNextRequest();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Status and fields of a response.
struct ResponseHead {
  int status = 0;
  Fields fields;
};

/// Parses one response and passes its body on as it arrives. Informational responses (1xx) ahead of it are
/// skipped.
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
  /// Whether a head or chunk has begun and not ended.
  bool isInsidePart() const;
  /// Heads and chunks begun so far.
  std::uint64_t partsStarted() const;
  /// Whether the response is complete, nothing follows it, and the server keeps the connection alive.
  bool isConnectionReusable() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse::http1
