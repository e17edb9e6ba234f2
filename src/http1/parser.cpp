#include "http1/parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>

namespace gannetcourse::http1 {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Code = beast::error_code;
using Text = beast::string_view;
using Length = boost::optional<std::uint64_t>;

constexpr int kMostInformational = 16;  // 1xx answers ahead of one
constexpr std::string_view kChunkEnd = "\r\n";

std::string textOf(Text text) { return std::string(text.data(), text.size()); }

// What both directions share: fields, lengths that agree, chunks within their limit.
template <bool kRequest>
class Message : public http::basic_parser<kRequest> {
 public:
  explicit Message(const Limits& limits) : limits_(limits) {
    this->header_limit(limits.maxHeadBytes);
    this->body_limit(limits.maxBodyBytes > 0 ? Length(limits.maxBodyBytes) : Length());
    this->eager(true);
  }

  Fields fields;
  std::function<void(std::string_view)> onBody;
  std::function<void()> onHead;
  std::uint64_t left = 0;    // of the chunk at hand
  std::uint64_t pieces = 0;  // the head, and chunks begun

 protected:
  void on_request_impl(http::verb, Text, Text, int, Code&) override {}
  void on_response_impl(int, Text, int, Code&) override {}
  void on_field_impl(http::field name, Text text, Text value, Code& code) override {
    if (name == http::field::content_length && ++lengths_ > 1) code = http::error::bad_content_length;
    if (name == http::field::transfer_encoding) {
      if (++codings_ > 1 || !beast::iequals(value, "chunked")) code = http::error::bad_transfer_encoding;
    }
    if (lengths_ > 0 && codings_ > 0) code = http::error::bad_content_length;
    if (!code) fields.add(textOf(text), textOf(value));
  }
  void on_header_impl(Code&) override {
    ++pieces;
    if (onHead) onHead();
  }
  void on_body_init_impl(const Length&, Code&) override {}
  std::size_t on_body_impl(Text body, Code&) override {
    if (onBody) onBody({body.data(), body.size()});
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t size, Text, Code& code) override {
    left = size;
    ++pieces;
    if (limits_.maxBodyBytes > 0 && size > limits_.maxBodyBytes) code = http::error::body_limit;
  }
  std::size_t on_chunk_body_impl(std::uint64_t remain, Text body, Code&) override {
    left = remain - body.size();
    if (onBody && !body.empty()) onBody({body.data(), body.size()});
    return body.size();
  }
  void on_finish_impl(Code&) override { left = 0; }

 private:
  Limits limits_;
  int lengths_ = 0, codings_ = 0;
};

class Asked final : public Message<true> {
 public:
  using Message::Message;
  std::string method, target;

 private:
  void on_request_impl(http::verb, Text verb, Text path, int, Code&) override {
    method = textOf(verb);
    target = textOf(path);
  }
};

class Answered final : public Message<false> {
 public:
  using Message::Message;
  int status = 0;

 private:
  void on_response_impl(int code, Text, int, Code&) override { status = code; }
};

// Feeds what is kept; what has been used is dropped.
template <class Parser>
ParseState feed(Parser& parser, std::string& kept, Code& code) {
  std::size_t used = 0;
  code = {};
  while (!parser.is_done() && used < kept.size()) {
    const std::size_t some =
        parser.put(boost::asio::const_buffer(kept.data() + used, kept.size() - used), code);
    used += some;
    if (code == http::error::need_more) {
      code = {};
      break;
    }
    if (code || some == 0) break;
  }
  kept.erase(0, used);
  if (code) return ParseState::kMalformed;
  return parser.is_done() ? ParseState::kComplete : ParseState::kNeedMore;
}

}  // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return beast::iequals(Text(a.data(), a.size()), Text(b.data(), b.size()));
}

void Fields::add(std::string name, std::string value) {
  fields_.emplace_back(std::move(name), std::move(value));
}

const std::string* Fields::find(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (equalsIgnoreCase(key, name)) return &value;
  }
  return nullptr;
}

std::size_t Fields::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [&](const auto& f) { return equalsIgnoreCase(f.first, name); }));
}

class RequestParser::Impl {
 public:
  explicit Impl(const Limits& limits) : limits_(limits) { next(); }

  void next() {
    parser_.emplace(limits_);
    request_ = {};
    status_ = 400;
    parser_->onBody = [this](std::string_view bytes) { request_.body.append(bytes); };
  }

  bool append(std::string_view bytes) {
    if (kept_.size() + bytes.size() > limits_.maxHeadBytes + limits_.maxBodyBytes + limits_.maxPipelinedBytes)
      return false;
    kept_.append(bytes);
    return true;
  }

  ParseState parse() {
    Code code;
    const ParseState state = feed(*parser_, kept_, code);
    if (code == http::error::body_limit) status_ = 413;
    if (code == http::error::header_limit) status_ = 431;
    if (state != ParseState::kComplete) return state;
    request_.method = parser_->method;
    request_.target = parser_->target;
    request_.fields = std::move(parser_->fields);
    request_.keepAlive = parser_->keep_alive();
    return state;
  }

  Limits limits_;
  std::optional<Asked> parser_;
  Request request_;
  std::string kept_;
  int status_ = 400;
};

RequestParser::RequestParser(Limits limits) : impl_(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
bool RequestParser::append(std::string_view bytes) { return impl_->append(bytes); }
ParseState RequestParser::parse() { return impl_->parse(); }
Request& RequestParser::request() { return impl_->request_; }
int RequestParser::errorStatus() const { return impl_->status_; }
bool RequestParser::started() const { return !impl_->kept_.empty() || impl_->parser_->got_some(); }
std::uint64_t RequestParser::bufferedBytes() const {
  return impl_->kept_.capacity() + impl_->request_.body.capacity();
}
std::size_t RequestParser::unparsedBytes() const { return impl_->kept_.size(); }
void RequestParser::next() { impl_->next(); }

class ResponseParser::Impl {
 public:
  Impl(const Limits& limits, Told told) : limits_(limits), told_(std::move(told)) { renew(); }

  ParseState take(std::string_view bytes) {
    if (state_ == ParseState::kComplete) behind_ = true;
    if (state_ != ParseState::kNeedMore) return state_;
    kept_.append(bytes);
    do {
      again_ = false;
      Code code;
      state_ = feed(*parser_, kept_, code);
      if (state_ == ParseState::kComplete && parser_->status / 100 == 1) skip();
    } while (again_);
    if (state_ == ParseState::kNeedMore && kept_.size() > limits_.maxHeadBytes)
      state_ = ParseState::kMalformed;
    if (state_ == ParseState::kComplete) behind_ = !kept_.empty();
    return state_;
  }

  bool midway() const {
    if (state_ != ParseState::kNeedMore) return false;
    if (!parser_->is_header_done()) return !kept_.empty() || parser_->got_some();
    return parser_->left > 0 || !betweenChunks();
  }

  // The parser takes the line end behind a chunk as the beginning of what follows: alone it is nothing begun.
  bool betweenChunks() const { return kChunkEnd.substr(0, kept_.size()) == kept_; }

  Limits limits_;
  Told told_;
  std::optional<Answered> parser_;
  std::string kept_;
  ParseState state_ = ParseState::kNeedMore;
  bool behind_ = false, again_ = false;
  int skipped_ = 0;

 private:
  void renew() {
    parser_.emplace(limits_);
    parser_->onBody = [this](std::string_view bytes) { told_.body(bytes); };
    parser_->onHead = [this] {
      if (parser_->status / 100 == 1) return;
      told_.head(ResponseHead{parser_->status, parser_->fields});
    };
  }

  void skip() {
    const bool bad = parser_->status == 101 || ++skipped_ > kMostInformational;
    renew();
    state_ = bad ? ParseState::kMalformed : ParseState::kNeedMore;
    again_ = !bad && !kept_.empty();
  }
};

ResponseParser::ResponseParser(Limits limits, Told told)
    : impl_(std::make_unique<Impl>(limits, std::move(told))) {}
ResponseParser::~ResponseParser() = default;
ParseState ResponseParser::take(std::string_view bytes) { return impl_->take(bytes); }
bool ResponseParser::isInsidePart() const { return impl_->midway(); }
std::uint64_t ResponseParser::partsStarted() const { return impl_->parser_->pieces; }
bool ResponseParser::isConnectionReusable() const {
  return impl_->state_ == ParseState::kComplete && !impl_->behind_ && impl_->parser_->keep_alive();
}

}  // namespace gannetcourse::http1
