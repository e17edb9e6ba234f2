#include "http2/session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <new>
#include <utility>

namespace gannetcourse::http2 {
namespace {

constexpr std::size_t kOverflowFactor = 8;  // a header block this many times the limit ends the connection

std::vector<nghttp2_nv> pairsOf(const Headers& headers) {
  std::vector<nghttp2_nv> pairs;
  pairs.reserve(headers.size());
  for (const Header& h : headers) {
    pairs.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.name.data())),
                     reinterpret_cast<std::uint8_t*>(const_cast<char*>(h.value.data())), h.name.size(),
                     h.value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return pairs;
}

}  // namespace

const std::string* find(const Headers& headers, std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(), [&](const Header& h) { return h.name == name; });
  return it == headers.end() ? nullptr : &it->value;
}

// nghttp2's callbacks; each finds its session and passes on.
struct Session::Callbacks {
  static Session& sessionOf(void* user) { return *static_cast<Session*>(user); }

  static int onBeginFrame(nghttp2_session*, const nghttp2_frame_hd* frame, void* user) {
    Session& self = sessionOf(user);
    const bool speaks = frame->type == NGHTTP2_HEADERS || frame->type == NGHTTP2_DATA;
    const auto& ended = self.recentlyClosed_;
    if (speaks && std::find(ended.begin(), ended.end(), frame->stream_id) != ended.end())
      self.owner_.onStrayFrame(frame->stream_id);
    return 0;
  }

  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Stream& stream = sessionOf(user).streams_[frame->hd.stream_id];
    stream.headers.clear();
    stream.headerBytes = 0;
    stream.headersOverflow = false;
    return 0;
  }

  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                      void* user) {
    Session& self = sessionOf(user);
    Stream* stream = self.find(frame->hd.stream_id);
    if (stream == nullptr) return 0;
    stream->headerBytes += nameSize + valueSize + 32;  // as RFC 9113 counts a field
    if (stream->headerBytes > self.limits_.maxHeaderBytes) {
      stream->headersOverflow = true;
      const bool flood = stream->headerBytes > kOverflowFactor * self.limits_.maxHeaderBytes;
      return flood ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
    }
    stream->headers.push_back({std::string(reinterpret_cast<const char*>(name), nameSize),
                               std::string(reinterpret_cast<const char*>(value), valueSize)});
    return 0;
  }

  static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Session& self = sessionOf(user);
    const StreamId id = frame->hd.stream_id;
    const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS: {
        Stream* stream = self.find(id);
        if (stream == nullptr) return 0;
        self.owner_.onHeaders(id, std::exchange(stream->headers, {}), stream->headersOverflow);
        if (end) self.owner_.onRemoteEnd(id);
        return 0;
      }
      case NGHTTP2_DATA:
        if (end) self.owner_.onRemoteEnd(id);
        return 0;
      case NGHTTP2_GOAWAY:
        self.draining_ = true;
        self.owner_.onGoaway();
        return 0;
      case NGHTTP2_PING:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) self.owner_.onPong();
        return 0;
      default:
        return 0;
    }
  }

  static int onDataChunk(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                         std::size_t size, void* user) {
    nghttp2_session_consume_connection(session, size);
    sessionOf(user).owner_.onData(id, {bytes, size});
    return 0;
  }

  static int onStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
    Session& self = sessionOf(user);
    if (id == self.cachedStreamId_) self.cachedStreamId_ = -1;
    if (self.streams_.erase(id) == 0) return 0;
    if (code == NGHTTP2_NO_ERROR)
      self.recentlyClosed_[self.recentlyClosedCount_++ % self.recentlyClosed_.size()] = id;
    self.owner_.onStreamClosed(id, code);
    return 0;
  }

  static int onFrameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
    const Stream* stream = sessionOf(user).find(frame->hd.stream_id);
    const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
                     (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA);
    if (end && stream != nullptr && stream->discardInput)
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    return 0;
  }

  static ssize_t readBody(nghttp2_session* session, std::int32_t id, std::uint8_t* into, std::size_t most,
                          std::uint32_t* flags, nghttp2_data_source*, void* user) {
    Session& self = sessionOf(user);
    Stream* stream = self.find(id);
    if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t size = std::min(most, stream->output.size() - stream->outputOffset);
    std::copy_n(stream->output.data() + stream->outputOffset, size, into);
    stream->outputOffset += size;
    const bool empty = stream->outputOffset == stream->output.size();
    if (empty) {
      stream->output.clear();
      stream->outputOffset = 0;
    }
    if (empty && stream->outputEnded) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      if (!stream->trailers.empty()) {
        *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
        const auto pairs = pairsOf(stream->trailers);
        nghttp2_submit_trailer(session, id, pairs.data(), pairs.size());
      }
    } else if (size == 0) {
      stream->outputDeferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    if (empty) self.owner_.onDrained(id);
    return static_cast<ssize_t>(size);
  }

  static const nghttp2_session_callbacks* table() {
    static const nghttp2_session_callbacks* const kTable = [] {
      nghttp2_session_callbacks* made = nullptr;
      if (nghttp2_session_callbacks_new(&made) != 0) throw std::bad_alloc();
      nghttp2_session_callbacks_set_on_begin_headers_callback(made, onBeginHeaders);
      nghttp2_session_callbacks_set_on_header_callback(made, onHeader);
      nghttp2_session_callbacks_set_on_frame_recv_callback(made, onFrame);
      nghttp2_session_callbacks_set_on_data_chunk_recv_callback(made, onDataChunk);
      nghttp2_session_callbacks_set_on_stream_close_callback(made, onStreamClose);
      nghttp2_session_callbacks_set_on_frame_send_callback(made, onFrameSent);
      nghttp2_session_callbacks_set_on_begin_frame_callback(made, onBeginFrame);
      return made;
    }();
    return kTable;
  }
};

Session::Session(net::Loop& loop, Side side, SessionOwner& owner, const Limits& limits)
    : loop_(loop), side_(side), owner_(owner), limits_(limits), connection_(loop, *this) {}

Session::~Session() {
  *alive_ = false;
  nghttp2_session_del(session_);
}

void Session::startSession() {
  nghttp2_option* options = nullptr;
  if (nghttp2_option_new(&options) != 0) throw std::bad_alloc();
  nghttp2_option_set_no_auto_window_update(options, 1);
  nghttp2_option_set_no_closed_streams(options, 1);
  const auto create = side_ == Side::kServer ? nghttp2_session_server_new2 : nghttp2_session_client_new2;
  const int made = create(&session_, Callbacks::table(), this, options);
  nghttp2_option_del(options);
  if (made != 0) throw std::bad_alloc();
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.maxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.streamWindow},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.maxHeaderBytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, side_ == Side::kServer ? 3 : 4);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        static_cast<std::int32_t>(limits_.connectionWindow));
}

void Session::adopt(int fd) {
  startSession();
  connection_.adopt(fd);
  scheduleSend();
}

void Session::connect(const net::Endpoint& to, Duration timeout) {
  startSession();
  connection_.connect(to, timeout);
}

void Session::onConnected() {
  owner_.onSessionReady();
  sendPendingFrames();
}

void Session::onBytes(std::span<const std::uint8_t> bytes) {
  lastReceivedAt_ = loop_.now();
  insideNghttp2_ = true;
  const ssize_t taken = nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
  insideNghttp2_ = false;
  if (closed_) return;
  if (taken < 0) {
    sendPendingFrames();  // a GOAWAY that tells why may be due
    return fail(std::string("HTTP/2: ") + nghttp2_strerror(static_cast<int>(taken)));
  }
  sendPendingFrames();
}

void Session::sendPendingFrames() {
  if (insideNghttp2_ || closed_ || session_ == nullptr) return;
  while (connection_.wantsOutput()) {
    const std::uint8_t* bytes = nullptr;
    insideNghttp2_ = true;
    const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    insideNghttp2_ = false;
    if (closed_) return;
    if (size < 0) return fail(std::string("HTTP/2: ") + nghttp2_strerror(static_cast<int>(size)));
    if (size == 0) break;
    // Many frames go out in one call of the system.
    connection_.append({bytes, static_cast<std::size_t>(size)});
    if (!connection_.wantsOutput()) connection_.flush();
    if (closed_) return;
  }
  connection_.flush();
  if (!closed_) closeIfFinished();
}

void Session::closeIfFinished() {
  if (closed_ || !connection_.isConnected()) return;
  const bool spoken = nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
  if (spoken || (draining_ && side_ == Side::kClient && streams_.empty())) fail("ended in good order");
}

void Session::scheduleSend() {
  if (std::exchange(sendScheduled_, true)) return;
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    sendScheduled_ = false;
    sendPendingFrames();
  });
}

Session::Stream* Session::find(StreamId id) {
  if (id == cachedStreamId_) return cachedStream_;  // tokens come in runs
  const auto it = streams_.find(id);
  if (it == streams_.end()) return nullptr;
  cachedStreamId_ = id;
  return cachedStream_ = &it->second;
}

bool Session::canOpenStream() const {
  if (!isOpen() || draining_ || session_ == nullptr) return false;
  const auto most = nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return streams_.size() < std::min(most, limits_.maxStreams) &&
         nghttp2_session_check_request_allowed(session_) != 0;
}

StreamId Session::request(const Headers& headers, std::string_view body) {
  if (!canOpenStream()) return 0;
  const auto pairs = pairsOf(headers);
  nghttp2_data_provider provider{{}, Callbacks::readBody};
  const StreamId id =
      nghttp2_submit_request(session_, nullptr, pairs.data(), pairs.size(), &provider, nullptr);
  if (id < 0) return 0;
  Stream& stream = streams_[id];
  stream.output.assign(body);
  stream.outputEnded = true;
  scheduleSend();
  return id;
}

void Session::submitResponse(StreamId id, const Headers& headers) {
  const auto pairs = pairsOf(headers);
  nghttp2_data_provider provider{{}, Callbacks::readBody};
  nghttp2_submit_response(session_, id, pairs.data(), pairs.size(), &provider);
  scheduleSend();
}

void Session::respond(StreamId id, const Headers& headers) {
  if (isOpen() && find(id) != nullptr) submitResponse(id, headers);
}

void Session::respondHeadersOnly(StreamId id, const Headers& headers) {
  if (!isOpen() || find(id) == nullptr) return;
  const auto pairs = pairsOf(headers);
  nghttp2_submit_response(session_, id, pairs.data(), pairs.size(), nullptr);
  scheduleSend();
}

void Session::resumeOutput(StreamId id, Stream& stream) {
  if (std::exchange(stream.outputDeferred, false)) nghttp2_session_resume_data(session_, id);
  scheduleSend();
}

std::size_t Session::send(StreamId id, std::string_view head, std::string_view bytes) {
  Stream* stream = isOpen() ? find(id) : nullptr;
  if (stream == nullptr || stream->outputEnded) return 0;
  stream->output.append(head).append(bytes);
  resumeOutput(id, *stream);
  return stream->output.size() - stream->outputOffset;
}

void Session::finish(StreamId id, const Headers& trailers) {
  Stream* stream = isOpen() ? find(id) : nullptr;
  if (stream == nullptr || stream->outputEnded) return;
  stream->outputEnded = true;
  stream->trailers = trailers;
  resumeOutput(id, *stream);
}

void Session::discardRemainingInput(StreamId id) {
  if (Stream* const stream = find(id)) stream->discardInput = true;
}

void Session::reset(StreamId id, std::uint32_t code) {
  if (!isOpen() || find(id) == nullptr) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, code);
  sendPendingFrames();  // inside a callback it follows right after
}

void Session::consumed(StreamId id, std::size_t bytes) {
  if (!isOpen() || bytes == 0 || find(id) == nullptr) return;
  nghttp2_session_consume_stream(session_, id, bytes);
  scheduleSend();
}

std::size_t Session::pendingBytes(StreamId id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? 0 : it->second.output.size() - it->second.outputOffset;
}

void Session::ping() {
  if (!isOpen()) return;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  scheduleSend();
}

void Session::goaway() {
  if (!isOpen() || std::exchange(draining_, true)) return;
  nghttp2_submit_shutdown_notice(session_);
  // The peer's streams that are on their way still count: the last one is named once they have come.
  loop_.runAfter(Duration(0.05), [this, alive = alive_] {
    if (!*alive || !isOpen()) return;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    sendPendingFrames();
  });
  scheduleSend();
}

void Session::close() {
  closed_ = true;
  connection_.close();
}

void Session::abort() {
  closed_ = true;
  connection_.abort();
}

void Session::fail(const std::string& reason) {
  if (closed_) return;
  closed_ = true;
  connection_.close();
  closeAllStreams(reason);
}

void Session::onClosed(const std::string& reason) {
  if (std::exchange(closed_, true)) return;
  closedByPeer_ = true;
  closeAllStreams(reason);
}

void Session::closeAllStreams(const std::string& reason) {
  cachedStreamId_ = -1;
  const auto open = std::exchange(streams_, {});
  std::vector<StreamId> ids;
  ids.reserve(open.size());
  for (const auto& [id, stream] : open) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const StreamId id : ids) owner_.onStreamClosed(id, kInternalError);
  owner_.onSessionClosed(reason);
}

}  // namespace gannetcourse::http2
