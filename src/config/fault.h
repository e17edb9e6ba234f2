// Faults of input files (settings, engine lists, keys), with their place and a remedy.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace gannetcourse::config {

/// One fault of an input file.
struct Fault {
  std::string file;
  int line = 0;  ///< From 1; 0 = the fault concerns the whole file.
  std::string reason;
  std::string remedy;        ///< How to correct the file; may be empty.
  std::string text() const;  ///< One line: "FILE:LINE: REASON; REMEDY", or without remedy if that is empty.
};

/// Thrown for a file with faults. Holds at least one fault; what() is the text of the first.
class InvalidFile : public std::runtime_error {
 public:
  explicit InvalidFile(std::vector<Fault> faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

}  // namespace gannetcourse::config
