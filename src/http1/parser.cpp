#include "http1/parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <optional>
#include <utility>

#include "http1/input_buffer.h"
#include "net/memory_budget.h"

namespace gannetcourse::http1 {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = beast::error_code;
using StringView = beast::string_view;
using OptionalLength = boost::optional<std::uint64_t>;

constexpr int kMaxInformationalResponses = 16;  // 1xx responses before the final one
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kChunkEnd = kLineEnd;
constexpr std::string_view kNameEnd = ": ";
constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kSwitchingProtocols = 101;

std::string toString(StringView text) { return std::string(text.data(), text.size()); }

bool isInformational(int status) { return status / 100 == 1; }

// Base of the request and response parsers: collects header fields, rejects ambiguous message lengths, and
// limits the size of a chunk.
template <bool kIsRequest>
class MessageParser : public http::basic_parser<kIsRequest> {
 public:
  explicit MessageParser(const Limits& limits) : limits_(limits) {
    this->header_limit(limits.maxHeadBytes);
    this->body_limit(limits.maxBodyBytes > 0 ? OptionalLength(limits.maxBodyBytes) : OptionalLength());
    this->eager(true);
  }

  Fields fields;
  std::function<void(std::string_view)> onBody;
  std::function<void()> onHead;
  std::size_t announcedBytes = SIZE_MAX;  // of the body; SIZE_MAX if its length is not announced
  std::uint64_t chunkBytesLeft = 0;
  std::uint64_t headsAndChunksStarted = 0;  // counts the head and each chunk

 protected:
  void on_request_impl(http::verb, StringView, StringView, int, ErrorCode&) override {}
  void on_response_impl(int, StringView, int, ErrorCode&) override {}
  void on_field_impl(http::field name, StringView text, StringView value, ErrorCode& error) override {
    if (name == http::field::content_length && ++lengthFields_ > 1) error = http::error::bad_content_length;
    if (name == http::field::transfer_encoding) {
      ++transferEncodings_;
      if (transferEncodings_ > 1 || !beast::iequals(value, "chunked"))
        error = http::error::bad_transfer_encoding;
    }
    if (lengthFields_ > 0 && transferEncodings_ > 0) error = http::error::bad_content_length;
    if (!error) fields.add({text.data(), text.size()}, {value.data(), value.size()});
  }
  void on_header_impl(ErrorCode&) override {
    ++headsAndChunksStarted;
    fields.shrinkToFit();
    if (onHead) onHead();
  }
  void on_body_init_impl(const OptionalLength& length, ErrorCode&) override {
    if (length) announcedBytes = static_cast<std::size_t>(*length);
  }
  std::size_t on_body_impl(StringView body, ErrorCode&) override {
    if (onBody) onBody({body.data(), body.size()});
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t size, StringView, ErrorCode& error) override {
    chunkBytesLeft = size;
    ++headsAndChunksStarted;
    if (limits_.maxBodyBytes > 0 && size > limits_.maxBodyBytes) error = http::error::body_limit;
  }
  std::size_t on_chunk_body_impl(std::uint64_t remain, StringView body, ErrorCode&) override {
    chunkBytesLeft = remain - body.size();
    if (onBody && !body.empty()) onBody({body.data(), body.size()});
    return body.size();
  }
  void on_finish_impl(ErrorCode&) override { chunkBytesLeft = 0; }

 private:
  Limits limits_;
  int lengthFields_ = 0;
  int transferEncodings_ = 0;
};

class RequestMessage final : public MessageParser<true> {
 public:
  using MessageParser::MessageParser;
  std::string method;
  std::string target;

 private:
  void on_request_impl(http::verb, StringView verb, StringView path, int, ErrorCode&) override {
    method = toString(verb);
    target = toString(path);
  }
};

class ResponseMessage final : public MessageParser<false> {
 public:
  using MessageParser::MessageParser;
  int status = 0;

 private:
  void on_response_impl(int code, StringView, int, ErrorCode&) override { status = code; }
  // Beast counts all chunks together against the limit of a body, which would end long streams.
  void on_header_impl(ErrorCode& error) override {
    if (chunked()) body_limit(OptionalLength());
    MessageParser::on_header_impl(error);
  }
};

// Parses `buffer` up to the end of a message at most, and removes the parsed bytes from it.
template <class Parser>
ParseState feed(Parser& parser, InputBuffer& buffer, ErrorCode& error) {
  const std::string_view bytes = buffer.view();
  std::size_t parsed = 0;
  error = {};
  while (!parser.is_done() && parsed < bytes.size()) {
    const std::size_t size =
        parser.put(boost::asio::const_buffer(bytes.data() + parsed, bytes.size() - parsed), error);
    parsed += size;
    if (error == http::error::need_more) {
      error = {};
      break;
    }
    if (error || size == 0) break;
  }
  buffer.remove(parsed);
  if (error) return ParseState::kMalformed;
  return parser.is_done() ? ParseState::kComplete : ParseState::kNeedMore;
}

}  // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return beast::iequals(StringView(a.data(), a.size()), StringView(b.data(), b.size()));
}

void Fields::add(std::string_view name, std::string_view value) {
  lines_.append(name).append(kNameEnd).append(value).append(kLineEnd);
}

void Fields::forEach(const std::function<void(std::string_view, std::string_view)>& visit) const {
  std::string_view rest = lines_;
  while (!rest.empty()) {
    const std::size_t nameSize = rest.find(kNameEnd);
    const std::size_t valueBegin = nameSize + kNameEnd.size();
    const std::size_t lineEnd = rest.find(kLineEnd, valueBegin);
    visit(rest.substr(0, nameSize), rest.substr(valueBegin, lineEnd - valueBegin));
    rest.remove_prefix(lineEnd + kLineEnd.size());
  }
}

std::optional<std::string> Fields::find(std::string_view name) const {
  std::optional<std::string> found;
  forEach([&](std::string_view key, std::string_view value) {
    if (!found && equalsIgnoreCase(key, name)) found.emplace(value);
  });
  return found;
}

std::size_t Fields::count(std::string_view name) const {
  std::size_t count = 0;
  forEach([&](std::string_view key, std::string_view) { count += equalsIgnoreCase(key, name) ? 1 : 0; });
  return count;
}

std::uint64_t Fields::heldBytes() const { return net::heapBytesOf(lines_); }

class RequestParser::Impl {
 public:
  explicit Impl(const Limits& limits) : limits_(limits) { startNextRequest(); }

  void startNextRequest() {
    message_.emplace(limits_);
    net::release(request_);
    errorStatus_ = kBadRequest;
    message_->onBody = [this](std::string_view bytes) { appendToBody(bytes); };
  }

  void clear() {
    buffer_.clear();
    startNextRequest();
  }

  bool append(std::string_view bytes) {
    const std::uint64_t maxBytes = limits_.maxHeadBytes + limits_.maxBodyBytes + limits_.maxPipelinedBytes;
    if (buffer_.size() + bytes.size() > maxBytes) return false;
    buffer_.append(bytes);
    return true;
  }

  ParseState parse() {
    ErrorCode error;
    const ParseState state = feed(*message_, buffer_, error);
    if (error == http::error::body_limit) errorStatus_ = kContentTooLarge;
    if (error == http::error::header_limit) errorStatus_ = kHeaderFieldsTooLarge;
    if (state != ParseState::kComplete) return state;
    request_.method = message_->method;
    request_.target = message_->target;
    request_.fields = std::move(message_->fields);
    request_.keepAlive = message_->keep_alive();
    return state;
  }

  Request& request() { return request_; }
  std::uint64_t expectedMemory() const {
    const std::size_t announced = message_->announcedBytes;
    return std::max(requestMemory() + inputMemory(), announced == SIZE_MAX ? 0 : std::uint64_t{announced});
  }
  int errorStatus() const { return errorStatus_; }
  bool hasPartialRequest() const { return !buffer_.empty() || message_->got_some(); }
  std::uint64_t inputMemory() const { return buffer_.heldBytes(); }
  std::uint64_t requestMemory() const {
    return net::heapBytesOf(request_.body) + net::heapBytesOf(request_.target) + request_.fields.heldBytes() +
           net::heapBytesOf(message_->target) + message_->fields.heldBytes();
  }
  std::size_t unparsedBytes() const { return buffer_.size(); }

 private:
  // Reserves no more than the announced length, so that a whole body holds no unused memory.
  void appendToBody(std::string_view bytes) {
    std::string& body = request_.body;
    const std::size_t needed = body.size() + bytes.size();
    const std::size_t doubled = std::max(needed, 2 * body.capacity());
    if (needed > body.capacity()) body.reserve(std::min(doubled, std::max(needed, message_->announcedBytes)));
    body.append(bytes);
  }

  Limits limits_;
  std::optional<RequestMessage> message_;
  Request request_;
  InputBuffer buffer_;
  int errorStatus_ = kBadRequest;
};

RequestParser::RequestParser(Limits limits) : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
bool RequestParser::append(std::string_view bytes) { return impl_->append(bytes); }
ParseState RequestParser::parse() { return impl_->parse(); }
Request& RequestParser::request() { return impl_->request(); }
int RequestParser::errorStatus() const { return impl_->errorStatus(); }
bool RequestParser::hasPartialRequest() const { return impl_->hasPartialRequest(); }
std::uint64_t RequestParser::inputMemory() const { return impl_->inputMemory(); }
std::uint64_t RequestParser::requestMemory() const { return impl_->requestMemory(); }
std::uint64_t RequestParser::expectedMemory() const { return impl_->expectedMemory(); }
std::size_t RequestParser::unparsedBytes() const { return impl_->unparsedBytes(); }
void RequestParser::startNextRequest() { impl_->startNextRequest(); }
void RequestParser::clear() { impl_->clear(); }

class ResponseParser::Impl {
 public:
  Impl(const Limits& limits, Callbacks callbacks) : limits_(limits), callbacks_(std::move(callbacks)) {
    startMessage();
  }

  ParseState consume(std::string_view bytes) {
    if (state_ == ParseState::kComplete) hasTrailingBytes_ = true;
    if (state_ != ParseState::kNeedMore) return state_;
    buffer_.append(bytes);
    do {
      parseAgain_ = false;
      ErrorCode error;
      state_ = feed(*message_, buffer_, error);
      if (state_ == ParseState::kComplete && isInformational(message_->status)) skipInformational();
    } while (parseAgain_);
    if (state_ == ParseState::kNeedMore && buffer_.size() > limits_.maxHeadBytes)
      state_ = ParseState::kMalformed;
    if (state_ == ParseState::kComplete) hasTrailingBytes_ = !buffer_.empty();
    return state_;
  }

  bool isInsideHeadOrChunk() const {
    if (state_ != ParseState::kNeedMore) return false;
    if (!message_->is_header_done()) return !buffer_.empty() || message_->got_some();
    return message_->chunkBytesLeft > 0 || !isBetweenChunks();
  }

  std::uint64_t headsAndChunksStarted() const { return message_->headsAndChunksStarted; }
  std::uint64_t heldBytes() const { return buffer_.heldBytes() + message_->fields.heldBytes(); }

  bool isConnectionReusable() const {
    return state_ == ParseState::kComplete && !hasTrailingBytes_ && message_->keep_alive();
  }

 private:
  void startMessage() {
    message_.emplace(limits_);
    message_->onBody = [this](std::string_view bytes) { callbacks_.onBody(bytes); };
    message_->onHead = [this] {
      if (isInformational(message_->status)) return;
      callbacks_.onHead(ResponseHead{message_->status, std::exchange(message_->fields, {})});
    };
  }

  void skipInformational() {
    ++informationalSkipped_;
    const bool malformed =
        message_->status == kSwitchingProtocols || informationalSkipped_ > kMaxInformationalResponses;
    startMessage();
    state_ = malformed ? ParseState::kMalformed : ParseState::kNeedMore;
    parseAgain_ = !malformed && !buffer_.empty();
  }

  // Whether the buffer is empty or holds only the CRLF that ends a chunk, or its CR. Beast parses that CRLF
  // together with the next chunk's header, so that it stays in the buffer; alone it does not begin a chunk.
  bool isBetweenChunks() const { return kChunkEnd.substr(0, buffer_.size()) == buffer_.view(); }

  Limits limits_;
  Callbacks callbacks_;
  std::optional<ResponseMessage> message_;
  InputBuffer buffer_;
  ParseState state_ = ParseState::kNeedMore;
  bool hasTrailingBytes_ = false;
  bool parseAgain_ = false;
  int informationalSkipped_ = 0;
};

ResponseParser::ResponseParser(Limits limits, Callbacks callbacks)
    : impl_(std::make_unique<Impl>(limits, std::move(callbacks))) {}
ResponseParser::~ResponseParser() = default;
ParseState ResponseParser::consume(std::string_view bytes) { return impl_->consume(bytes); }
bool ResponseParser::isInsideHeadOrChunk() const { return impl_->isInsideHeadOrChunk(); }
std::uint64_t ResponseParser::headsAndChunksStarted() const { return impl_->headsAndChunksStarted(); }
std::uint64_t ResponseParser::heldBytes() const { return impl_->heldBytes(); }
bool ResponseParser::isConnectionReusable() const { return impl_->isConnectionReusable(); }

}  // namespace gannetcourse::http1
