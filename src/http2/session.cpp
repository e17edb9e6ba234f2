#include "http2/session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <new>
#include <utility>
#include <vector>

#include "http2/session_callbacks.h"

namespace gannetcourse::http2 {
namespace {

// Time between the shutdown notice and the final GOAWAY, in which streams that the peer has already opened
// can still arrive.
const Duration kGoawayDelay{0.05};

std::string errorText(ssize_t nghttp2Error) {
  return std::string("HTTP/2: ") + nghttp2_strerror(static_cast<int>(nghttp2Error));
}

}  // namespace

// ---- Opening ----
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
  const int error = create(&session_, Callbacks::table(), this, options);
  nghttp2_option_del(options);
  if (error != 0) throw std::bad_alloc();
  submitSettings();
}

void Session::submitSettings() {
  std::vector<nghttp2_settings_entry> settings = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.maxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.streamWindow},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.maxHeaderBytes)}};
  if (side_ == Side::kClient) settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
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

// ---- Frames ----
void Session::onBytes(std::span<const std::uint8_t> bytes) {
  lastReceivedAt_ = loop_.now();
  insideNghttp2_ = true;
  const ssize_t consumedBytes = nghttp2_session_mem_recv(session_, bytes.data(), bytes.size());
  insideNghttp2_ = false;
  if (closed_) return;
  sendPendingFrames();  // after an error too: nghttp2 may have queued a GOAWAY that states the reason
  if (consumedBytes < 0) fail(errorText(consumedBytes));
}

void Session::sendPendingFrames() {
  if (insideNghttp2_ || closed_ || session_ == nullptr) return;
  while (connection_.canAcceptOutput()) {
    const std::uint8_t* bytes = nullptr;
    insideNghttp2_ = true;
    const ssize_t size = nghttp2_session_mem_send(session_, &bytes);
    insideNghttp2_ = false;
    if (closed_) return;
    if (size < 0) return fail(errorText(size));
    if (size == 0) break;
    // Collects frames up to the watermark, to send many of them with one system call.
    connection_.append({bytes, static_cast<std::size_t>(size)});
    if (!connection_.canAcceptOutput()) connection_.flush();
    if (closed_) return;
  }
  connection_.flush();
  if (!closed_) closeIfFinished();
}

void Session::scheduleSend() {
  if (std::exchange(sendScheduled_, true)) return;
  loop_.defer([this, alive = alive_] {
    if (!*alive) return;
    sendScheduled_ = false;
    sendPendingFrames();
  });
}

// ---- Streams ----
Session::Stream* Session::find(StreamId id) {
  if (id == cachedStreamId_) return cachedStream_;  // consecutive frames often belong to the same stream
  const auto found = streams_.find(id);
  if (found == streams_.end()) return nullptr;
  cachedStreamId_ = id;
  cachedStream_ = &found->second;
  return cachedStream_;
}

Session::Stream* Session::findAcceptingOutput(StreamId id) {
  Stream* const stream = isOpen() ? find(id) : nullptr;
  if (stream == nullptr || stream->outputEnded) return nullptr;
  return stream;
}

bool Session::canOpenStream() const {
  if (!isOpen() || draining_ || session_ == nullptr) return false;
  const auto peerLimit =
      nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return streams_.size() < std::min(peerLimit, limits_.maxStreams) &&
         nghttp2_session_check_request_allowed(session_) != 0;
}

StreamId Session::request(const Headers& headers, std::string_view body) {
  if (!canOpenStream()) return 0;
  const auto fields = nghttp2Fields(headers);
  nghttp2_data_provider provider{{}, Callbacks::readBody};
  const StreamId id =
      nghttp2_submit_request(session_, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (id < 0) return 0;
  Stream& stream = streams_[id];
  stream.output.assign(body);
  stream.outputEnded = true;
  scheduleSend();
  return id;
}

void Session::submitResponse(StreamId id, const Headers& headers) {
  const auto fields = nghttp2Fields(headers);
  nghttp2_data_provider provider{{}, Callbacks::readBody};
  nghttp2_submit_response(session_, id, fields.data(), fields.size(), &provider);
  scheduleSend();
}

void Session::respond(StreamId id, const Headers& headers) {
  if (isOpen() && find(id) != nullptr) submitResponse(id, headers);
}

void Session::respondHeadersOnly(StreamId id, const Headers& headers) {
  if (!isOpen() || find(id) == nullptr) return;
  const auto fields = nghttp2Fields(headers);
  nghttp2_submit_response(session_, id, fields.data(), fields.size(), nullptr);
  scheduleSend();
}

void Session::resumeOutput(StreamId id, Stream& stream) {
  if (std::exchange(stream.outputDeferred, false)) nghttp2_session_resume_data(session_, id);
  scheduleSend();
}

std::size_t Session::send(StreamId id, std::string_view head, std::string_view bytes) {
  Stream* const stream = findAcceptingOutput(id);
  if (stream == nullptr) return 0;
  stream->output.append(head).append(bytes);
  resumeOutput(id, *stream);
  return stream->output.size() - stream->outputOffset;
}

void Session::finish(StreamId id, const Headers& trailers) {
  Stream* const stream = findAcceptingOutput(id);
  if (stream == nullptr) return;
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
  sendPendingFrames();  // within an nghttp2 callback, the frame is sent right after the callback
}

void Session::consumed(StreamId id, std::size_t bytes) {
  if (!isOpen() || bytes == 0 || find(id) == nullptr) return;
  nghttp2_session_consume_stream(session_, id, bytes);
  scheduleSend();
}

std::size_t Session::pendingBytes(StreamId id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? 0 : found->second.output.size() - found->second.outputOffset;
}

void Session::ping() {
  if (!isOpen()) return;
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  scheduleSend();
}

// ---- Closing ----
void Session::goaway() {
  if (!isOpen() || std::exchange(draining_, true)) return;
  nghttp2_submit_shutdown_notice(session_);
  loop_.runAfter(kGoawayDelay, [this, alive = alive_] {
    if (!*alive || !isOpen()) return;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    sendPendingFrames();
  });
  scheduleSend();
}

void Session::closeIfFinished() {
  if (closed_ || !connection_.isConnected()) return;
  const bool isFinished =
      nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0;
  const bool isDrained = draining_ && side_ == Side::kClient && streams_.empty();
  if (isFinished || isDrained) fail("ended in good order");
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
