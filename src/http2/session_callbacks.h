// The nghttp2 callbacks of a Session. To be included by the session's source files only.
#pragma once

#include <nghttp2/nghttp2.h>

#include <vector>

#include "http2/session.h"

namespace gannetcourse::http2 {

/// Converts header fields for nghttp2. The result refers to the strings in `headers`.
std::vector<nghttp2_nv> nghttp2Fields(const Headers& headers);

/// The callback functions. Each gets its Session from the user pointer and passes the event to it.
struct Session::Callbacks {
  static Session& sessionOf(void* user) { return *static_cast<Session*>(user); }

  static int onBeginFrame(nghttp2_session*, const nghttp2_frame_hd* frame, void* user);
  static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user);
  static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize,
                      std::uint8_t flags, void* user);
  static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user);
  static int onDataChunk(nghttp2_session* session, std::uint8_t flags, std::int32_t id,
                         const std::uint8_t* bytes, std::size_t size, void* user);
  static int onStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user);
  static int onFrameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  /// Copies a stream's pending output into nghttp2's buffer.
  static ssize_t readBody(nghttp2_session* session, std::int32_t id, std::uint8_t* into, std::size_t maxBytes,
                          std::uint32_t* flags, nghttp2_data_source*, void* user);

  /// The table of these functions; created on the first call. Throws std::bad_alloc.
  static const nghttp2_session_callbacks* table();

 private:
  static void onHeadersFrame(Session& session, StreamId id, bool endsStream);
};

}  // namespace gannetcourse::http2
