// Header fields of HTTP/2 messages.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gannetcourse::http2 {

/// One header field. Names of pseudo-header fields include the leading colon.
struct Header {
  std::string name, value;
};
using Headers = std::vector<Header>;

/// The value of the first field called `name`, or null if there is none.
const std::string* find(const Headers& headers, std::string_view name);

}  // namespace gannetcourse::http2
