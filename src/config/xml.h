// XML files checked against a schema, with typed attributes that name their units. By libxml2.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fault.h"
#include "config/units.h"

struct _xmlDoc;
struct _xmlNode;

namespace gannetcourse::config {

/// An element of a checked document, valid as long as the document. The getters trust the schema for the form
/// and return `fallback` where an attribute is absent.
class Element {
 public:
  Element(const std::string* file, _xmlNode* node) : file_(file), node_(node) {}

  std::string name() const;
  int line() const;
  bool has(const char* attribute) const;
  std::string text(const char* attribute, const std::string& fallback = {}) const;
  double number(const char* attribute, double fallback) const;
  std::uint64_t count(const char* attribute, std::uint64_t fallback) const;
  std::uint64_t bytes(const char* attribute, std::uint64_t fallback) const;
  bool flag(const char* attribute, bool fallback) const;
  Duration duration(const char* attribute, Duration fallback) const;

  std::vector<Element> children() const;
  std::vector<Element> children(std::string_view name) const;
  /// The first child of this name; nothing where there is none.
  std::optional<Element> child(std::string_view name) const;

  /// A fault at this element's place.
  Fault fault(std::string reason, std::string remedy) const {
    return {*file_, line(), std::move(reason), std::move(remedy)};
  }

 private:
  const std::string* file_;
  _xmlNode* node_;
};

/// A document that fits its schema; owns the tree that its elements refer to.
class Document {
 public:
  /// Reads and checks a file. Throws InvalidFile where it cannot be read, is no XML or does not fit the
  /// schema.
  static Document load(const std::string& path, std::string_view schema);
  /// The same for text; `name` stands for the file in faults.
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

/// Text as the value of an attribute, escaped, quotes included.
std::string quotedAttribute(std::string_view text);

}  // namespace gannetcourse::config
