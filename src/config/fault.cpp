#include "config/fault.h"

#include <utility>

namespace gannetcourse::config {

std::string Fault::text() const {
  std::string text = file + ":" + std::to_string(line) + ": " + reason;
  if (!remedy.empty()) text += "; " + remedy;
  return text;
}

InvalidFile::InvalidFile(std::vector<Fault> faults)
    : std::runtime_error(faults.empty() ? "invalid file" : faults.front().text()),
      faults_(std::move(faults)) {}

}  // namespace gannetcourse::config
