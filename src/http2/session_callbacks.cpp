#include "http2/session_callbacks.h"

#include <algorithm>
#include <new>
#include <utility>

namespace gannetcourse::http2 {
namespace {

constexpr std::size_t kFloodFactor = 8;  // header blocks over this many times the limit end the connection
constexpr std::size_t kFieldOverheadBytes = 32;  // added for each field, RFC 9113, section 6.5.2

bool endsStream(const nghttp2_frame* frame) { return (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0; }

}  // namespace

std::vector<nghttp2_nv> nghttp2Fields(const Headers& headers) {
  std::vector<nghttp2_nv> fields;
  fields.reserve(headers.size());
  for (const Header& header : headers) {
    fields.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.name.data())),
                      reinterpret_cast<std::uint8_t*>(const_cast<char*>(header.value.data())),
                      header.name.size(), header.value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return fields;
}

int Session::Callbacks::onBeginFrame(nghttp2_session*, const nghttp2_frame_hd* frame, void* user) {
  Session& self = sessionOf(user);
  const bool isHeadersOrData = frame->type == NGHTTP2_HEADERS || frame->type == NGHTTP2_DATA;
  const auto& closed = self.recentlyClosed_;
  if (isHeadersOrData && std::find(closed.begin(), closed.end(), frame->stream_id) != closed.end())
    self.owner_.onStrayFrame(frame->stream_id);
  return 0;
}

int Session::Callbacks::onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  Stream& stream = sessionOf(user).streams_[frame->hd.stream_id];
  stream.headers.clear();
  stream.headerBytes = 0;
  stream.headersOverflow = false;
  return 0;
}

int Session::Callbacks::onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                                 std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize,
                                 std::uint8_t, void* user) {
  Session& self = sessionOf(user);
  Stream* stream = self.find(frame->hd.stream_id);
  if (stream == nullptr) return 0;
  stream->headerBytes += nameSize + valueSize + kFieldOverheadBytes;
  if (stream->headerBytes > self.limits_.maxHeaderBytes) {
    stream->headersOverflow = true;
    const bool isFlood = stream->headerBytes > kFloodFactor * self.limits_.maxHeaderBytes;
    return isFlood ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }
  stream->headers.push_back({std::string(reinterpret_cast<const char*>(name), nameSize),
                             std::string(reinterpret_cast<const char*>(value), valueSize)});
  return 0;
}

void Session::Callbacks::onHeadersFrame(Session& session, StreamId id, bool endsStream) {
  Stream* stream = session.find(id);
  if (stream == nullptr) return;
  session.owner_.onHeaders(id, std::exchange(stream->headers, {}), stream->headersOverflow);
  if (endsStream) session.owner_.onRemoteEnd(id);
}

int Session::Callbacks::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  Session& self = sessionOf(user);
  const StreamId id = frame->hd.stream_id;
  switch (frame->hd.type) {
    case NGHTTP2_HEADERS:
      onHeadersFrame(self, id, endsStream(frame));
      break;
    case NGHTTP2_DATA:
      if (endsStream(frame)) self.owner_.onRemoteEnd(id);
      break;
    case NGHTTP2_GOAWAY:
      self.draining_ = true;
      self.owner_.onGoaway();
      break;
    case NGHTTP2_PING:
      if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) self.owner_.onPong();
      break;
    default:
      break;
  }
  return 0;
}

int Session::Callbacks::onDataChunk(nghttp2_session* session, std::uint8_t, std::int32_t id,
                                    const std::uint8_t* bytes, std::size_t size, void* user) {
  nghttp2_session_consume_connection(session, size);
  sessionOf(user).owner_.onData(id, {bytes, size});
  return 0;
}

int Session::Callbacks::onStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user) {
  Session& self = sessionOf(user);
  if (id == self.cachedStreamId_) self.cachedStreamId_ = -1;
  if (self.streams_.erase(id) == 0) return 0;
  if (code == NGHTTP2_NO_ERROR) {
    self.recentlyClosed_[self.recentlyClosedCount_ % self.recentlyClosed_.size()] = id;
    ++self.recentlyClosedCount_;
  }
  self.owner_.onStreamClosed(id, code);
  return 0;
}

int Session::Callbacks::onFrameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
  const Stream* stream = sessionOf(user).find(frame->hd.stream_id);
  const bool isHeadersOrData = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (endsStream(frame) && isHeadersOrData && stream != nullptr && stream->discardInput)
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
  return 0;
}

ssize_t Session::Callbacks::readBody(nghttp2_session* session, std::int32_t id, std::uint8_t* into,
                                     std::size_t maxBytes, std::uint32_t* flags, nghttp2_data_source*,
                                     void* user) {
  Session& self = sessionOf(user);
  Stream* stream = self.find(id);
  if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t size = std::min(maxBytes, stream->output.size() - stream->outputOffset);
  std::copy_n(stream->output.data() + stream->outputOffset, size, into);
  stream->outputOffset += size;
  const bool isEmpty = stream->outputOffset == stream->output.size();
  if (isEmpty) {
    stream->output.clear();
    stream->outputOffset = 0;
  }
  if (isEmpty && stream->outputEnded) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (!stream->trailers.empty()) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto trailers = nghttp2Fields(stream->trailers);
      nghttp2_submit_trailer(session, id, trailers.data(), trailers.size());
    }
  } else if (size == 0) {
    stream->outputDeferred = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  if (isEmpty) self.owner_.onOutputTaken(id);
  return static_cast<ssize_t>(size);
}

const nghttp2_session_callbacks* Session::Callbacks::table() {
  static const nghttp2_session_callbacks* const kTable = [] {
    nghttp2_session_callbacks* callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) throw std::bad_alloc();
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_begin_frame_callback(callbacks, onBeginFrame);
    return callbacks;
  }();
  return kTable;
}

}  // namespace gannetcourse::http2
