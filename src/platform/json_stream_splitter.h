// Splits the bytes of a discovery watch into JSON objects. No I/O, no parsing beyond braces and strings.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace gannetcourse::platform {

/// Finds the JSON objects in a stream of bytes, whatever their layout over lines and reads.
class JsonStreamSplitter {
 public:
  using ObjectHandler = std::function<void(std::string object)>;

  /// Calls `onObject` with the text of each object that is complete. Returns whether the bytes prove that the
  /// sender is alive: they ended an object, or a line between objects. An object that is longer than 8 MiB is
  /// dropped.
  bool feed(std::string_view bytes, const ObjectHandler& onObject);

 private:
  void trackStructure(char c);

  std::string object_;  // what has come of the object
  int depth_ = 0;       // open braces and brackets
  bool inString_ = false;
  bool escaped_ = false;  // the next character of the string is escaped
};

}  // namespace gannetcourse::platform
