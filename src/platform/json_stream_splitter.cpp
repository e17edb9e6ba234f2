#include "platform/json_stream_splitter.h"

#include <utility>

namespace gannetcourse::platform {

bool JsonStreamSplitter::feed(std::string_view bytes, const ObjectHandler& onObject) {
  bool alive = false;
  for (const char c : bytes) {
    if (depth_ == 0 && c != '{') {
      alive = alive || c == '\n';
      continue;
    }
    object_.push_back(c);
    if (escaped_) {
      escaped_ = false;
      continue;
    }
    trackStructure(c);
    if (depth_ == 0) {
      alive = true;
      onObject(std::exchange(object_, {}));
    }
    if (object_.size() > maxObjectBytes_) dropObject();
  }
  return alive;
}

void JsonStreamSplitter::dropObject() {
  const std::size_t dropped = droppedObjects_ + 1;
  *this = JsonStreamSplitter(maxObjectBytes_);
  droppedObjects_ = dropped;
}

void JsonStreamSplitter::trackStructure(char c) {
  if (inString_) {
    escaped_ = c == '\\';
    inString_ = c != '"';
    return;
  }
  switch (c) {
    case '"':
      inString_ = true;
      break;
    case '{':
    case '[':
      ++depth_;
      break;
    case '}':
    case ']':
      --depth_;
      break;
    default:
      break;
  }
}

}  // namespace gannetcourse::platform
