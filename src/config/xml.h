// XML documents validated against a schema, with typed attributes that include their units. Uses libxml2.
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

/// An element of a validated document; must not outlive the document. The getters do not check the format,
/// which the schema has validated, and return `fallback` if the attribute is absent.
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
  /// The first child of this name; std::nullopt if there is none.
  std::optional<Element> child(std::string_view name) const;

  /// A fault with this element's file and line.
  Fault fault(std::string reason, std::string remedy) const {
    return {*file_, line(), std::move(reason), std::move(remedy)};
  }

 private:
  const std::string* file_;
  _xmlNode* node_;
};

/// A schema-valid document; owns the tree that its elements refer to.
class Document {
 public:
  /// Reads and validates a file. Throws InvalidFile if it cannot be read, is not well-formed XML or does not
  /// match the schema.
  static Document load(const std::string& path, std::string_view schema);
  /// Parses and validates `text`; faults use `name` as the file name.
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

/// Escapes text as an attribute's value and puts it in double quotes.
std::string quotedAttribute(std::string_view text);

}  // namespace gannetcourse::config
