#include "http2/headers.h"

#include <algorithm>

namespace gannetcourse::http2 {

const std::string* find(const Headers& headers, std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [&](const Header& header) { return header.name == name; });
  return found == headers.end() ? nullptr : &found->value;
}

}  // namespace gannetcourse::http2
