// Splits the byte stream of a discovery watch into JSON objects. No I/O; tracks only brackets and strings.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/memory_budget.h"

namespace gannetcourse::platform {

/// Finds the JSON objects in a byte stream; an object may span several lines and reads.
class JsonStreamSplitter {
 public:
  using ObjectHandler = std::function<void(std::string object)>;

  static constexpr std::size_t kMaxObjectBytes = 8U << 20;
  /// `maxObjectBytes`: a longer object is dropped.
  explicit JsonStreamSplitter(std::size_t maxObjectBytes = kMaxObjectBytes)
      : maxObjectBytes_(maxObjectBytes) {}

  /// Calls `onObject` with the text of each complete object. Returns true if the bytes prove that the sender
  /// is alive: they complete an object or contain a line end between objects.
  bool feed(std::string_view bytes, const ObjectHandler& onObject);
  /// Whether part of an object has been received, but not its end.
  bool hasPartialObject() const { return depth_ > 0; }
  std::size_t heldBytes() const { return net::heapBytesOf(object_); }
  /// Number of objects dropped because of their length.
  std::size_t droppedObjects() const { return droppedObjects_; }

 private:
  void trackStructure(char c);
  void dropObject();

  std::size_t maxObjectBytes_;
  std::size_t droppedObjects_ = 0;
  std::string object_;  // the received part of the current object
  int depth_ = 0;       // number of open braces and brackets
  bool inString_ = false;
  bool escaped_ = false;  // the next character is escaped by a backslash
};

}  // namespace gannetcourse::platform
