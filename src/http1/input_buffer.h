// Bytes that a connection has received and not parsed yet.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace gannetcourse::http1 {

/// A queue of bytes in one piece of memory. Removing bytes at the front moves the others only once they are
/// fewer, so that many small messages in a long buffer cost no more than their bytes.
class InputBuffer {
 public:
  void append(std::string_view bytes) { bytes_.append(bytes); }
  /// The bytes that have not been removed.
  std::string_view view() const { return std::string_view(bytes_).substr(removed_); }
  std::size_t size() const { return bytes_.size() - removed_; }
  bool empty() const { return size() == 0; }
  /// Removes bytes at the front.
  void remove(std::size_t count);
  /// Removes all bytes and returns their memory.
  void clear();
  std::size_t heldBytes() const;  ///< Memory allocated for the buffer.

 private:
  std::string bytes_;
  std::size_t removed_ = 0;  // bytes at the front of `bytes_` that have been removed
};

}  // namespace gannetcourse::http1
