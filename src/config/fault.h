// What is wrong with a file that this program was given.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace gannetcourse::config {

/// One fault of a file.
struct Fault {
  std::string file;
  int line = 0;  ///< 0 = the file as a whole.
  std::string reason;
  std::string remedy;        ///< What to do about it; may be empty.
  std::string text() const;  ///< One line: "FILE:LINE: REASON; REMEDY".
};

/// A file that cannot be used. Holds at least one fault; what() is the first.
class InvalidFile : public std::runtime_error {
 public:
  explicit InvalidFile(std::vector<Fault> faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

}  // namespace gannetcourse::config
