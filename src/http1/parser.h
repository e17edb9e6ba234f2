// HTTP/1.1 messages out of bytes, for both sides, by Boost.Beast's parser. No sockets, clock or services.
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

struct Limits {
  std::uint32_t maxHeadBytes = 16 * 1024;      // bytes of a head
  std::uint64_t maxBodyBytes = 256 * 1024;     // bytes of a body, and of one chunk; 0 = bodies without limit
  std::size_t maxPipelinedBytes = 512 * 1024;  // bytes that may wait behind a message
};

class Fields {
 public:
  void add(std::string name, std::string value);
  // The value, or null where the field is missing. Names are compared without case.
  const std::string* find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
  const std::vector<std::pair<std::string, std::string>>& all() const { return fields_; }  // as they came

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

// Whether two names of fields are the same: case does not count.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

struct Request {
  std::string method, target;
  Fields fields;
  std::string body;
  bool keepAlive = true;
};

enum class ParseState { kNeedMore, kComplete, kMalformed };

// One request after another. Lengths that are repeated, conflict, or stand beside a Transfer-Encoding are
// refused: they may hide a request in a body.
class RequestParser {
 public:
  explicit RequestParser(Limits limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  // Keeps the bytes for parse(). False where more wait than the limits allow.
  bool append(std::string_view bytes);
  ParseState parse();
  Request& request();
  int errorStatus() const;              // what to answer to one that is kBad
  bool started() const;                 // bytes of a request that is not whole have come
  std::uint64_t bufferedBytes() const;  // bytes of memory it keeps for the request
  std::size_t unparsedBytes() const;    // bytes not read as part of a request yet
  void next();                          // after kWhole: what waits behind it is the next request

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct ResponseHead {
  int status = 0;
  Fields fields;
};

// One response, its body told as it comes. Answers of 1xx ahead of it are passed over.
class ResponseParser {
 public:
  struct Told {
    std::function<void(const ResponseHead&)> head;
    std::function<void(std::string_view)> body;
  };
  ResponseParser(Limits limits, Told told);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  ParseState take(std::string_view bytes);
  bool isInsidePart() const;           // inside a head or a chunk: more must come
  std::uint64_t partsStarted() const;  // heads and chunks begun so far
  bool isConnectionReusable() const;   // whole, nothing behind it, and its sender keeps the connection

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse::http1
