#include "http1/input_buffer.h"

#include "net/memory_budget.h"

namespace gannetcourse::http1 {

void InputBuffer::remove(std::size_t count) {
  removed_ += count;
  if (removed_ < size()) return;
  bytes_.erase(0, removed_);
  removed_ = 0;
  net::releaseUnusedBytes(bytes_);
}

void InputBuffer::clear() {
  net::release(bytes_);
  removed_ = 0;
}

std::size_t InputBuffer::heldBytes() const { return net::heapBytesOf(bytes_); }

}  // namespace gannetcourse::http1
