// Header fields of HTTP/2.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gannetcourse::http2 {

/// One field; pseudo-header fields keep their colon.
struct Header {
  std::string name, value;
};
using Headers = std::vector<Header>;

/// The first value under `name`, or null.
const std::string* find(const Headers& headers, std::string_view name);

}  // namespace gannetcourse::http2
