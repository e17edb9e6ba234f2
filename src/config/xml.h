// XML files checked against a schema, with typed attributes that name their units. By libxml2.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "gannetcourse/policy.h"

struct _xmlDoc;
struct _xmlNode;

namespace gannetcourse::config {

// One fault of a file: where, what, and what to do about it. text() is one line.
struct Fault {
  std::string file;
  int line = 0;
  std::string reason, remedy;
  std::string text() const;
};

// A file that cannot be used; holds at least one fault.
class InvalidFile : public std::runtime_error {
 public:
  explicit InvalidFile(std::vector<Fault> faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// "250ms", "1.5s", "2min", "40us"; nothing where malformed.
std::optional<Duration> parseDuration(std::string_view text);
std::string formatDuration(Duration duration);  // the shortest of these that says it
// "32KiB", "4MiB", "100" (bytes); nothing where malformed.
std::optional<std::uint64_t> parseBytes(std::string_view text);

// An element of a checked document, valid as long as the document. The getters trust the schema for the form
// and fall back to `otherwise` where an attribute is absent.
class Element {
 public:
  Element(const std::string* file, _xmlNode* node) : file_(file), node_(node) {}

  std::string name() const;
  int line() const;
  bool has(const char* attribute) const;
  std::string text(const char* attribute, const std::string& otherwise = {}) const;
  double number(const char* attribute, double otherwise) const;
  std::uint64_t count(const char* attribute, std::uint64_t otherwise) const;
  std::uint64_t bytes(const char* attribute, std::uint64_t otherwise) const;
  bool flag(const char* attribute, bool otherwise) const;
  Duration duration(const char* attribute, Duration otherwise) const;

  std::vector<Element> children() const;
  std::vector<Element> children(std::string_view name) const;
  std::optional<Element> child(std::string_view name) const;  // the first

  Fault fault(std::string what, std::string mend) const {
    return {*file_, line(), std::move(what), std::move(mend)};
  }

 private:
  const std::string* file_;
  _xmlNode* node_;
};

class Document {
 public:
  // Reads and checks a file. Throws Faults where it cannot be read, is no XML or does not fit the schema.
  static Document load(const std::string& path, std::string_view schema);
  // The same for text; `name` stands for the file in messages.
  static Document parse(std::string_view text, const std::string& name, std::string_view schema);
  Element root() const;

 private:
  struct DocumentDeleter {
    void operator()(_xmlDoc* document) const;
  };
  Document(std::string name, _xmlDoc* document)
      : name_(std::make_unique<std::string>(std::move(name))), document_(document) {}
  static Document validate(std::string name, _xmlDoc* document, std::vector<Fault> faults,
                           std::string_view schema);

  std::unique_ptr<std::string> name_;
  std::unique_ptr<_xmlDoc, DocumentDeleter> document_;
};

// Text as the value of an attribute, quotes included.
std::string quotedAttribute(std::string_view text);

}  // namespace gannetcourse::config
