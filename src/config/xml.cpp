#include "config/xml.h"

#include <libxml/parser.h>
#include <libxml/xmlerror.h>
#include <libxml/xmlschemas.h>

#include <algorithm>
#include <cstdlib>
#include <mutex>
#include <stdexcept>

namespace gannetcourse::config {
namespace {

constexpr int kParseOptions = XML_PARSE_NONET | XML_PARSE_BIG_LINES;

// Converts a libxml2 message to one line, without trailing punctuation and the namespaces before names.
std::string toOneLine(std::string text) {
  for (auto at = text.find("{urn:"); at != std::string::npos; at = text.find("{urn:", at)) {
    const auto end = text.find('}', at);
    if (end == std::string::npos) break;
    text.erase(at, end - at + 1);
  }
  std::replace(text.begin(), text.end(), '\n', ' ');
  while (!text.empty() && (text.back() == ' ' || text.back() == '.')) text.pop_back();
  return text;
}

// The remedy for libxml2 messages that contain a fragment; the first match applies. Messages are matched
// because libxml2's error codes do not distinguish which pattern of the schema a value violates.
struct Remedy {
  std::string_view fragment;
  const char* remedy;
};
constexpr Remedy kRemedies[] = {
    {"us|ms|s|min", "write a duration with its unit: 250ms, 1.5s, 2min"},
    {"KiB|MiB", "write a size with its unit: 32KiB, 4MiB"},
    {"{1,3}(\\.", "write an address as 127.0.0.1:8080"},
    {"is not allowed", "remove it or correct its name"},
    {"required but missing", "add it"},
    {"not expected", "move or rename this element as the schema requires"},
    {"Missing child", "add the missing element"},
    {"enumeration", "use one of the listed values"},
    {"facet", "correct the value"},
    {"not a valid value", "correct the value"},
    {"No matching", "check the root element and its xmlns"},
};

std::string remedyFor(const std::string& message) {
  for (const Remedy& known : kRemedies) {
    if (message.find(known.fragment) != std::string::npos) return known.remedy;
  }
  return "correct the file's XML";
}

// Collects libxml2's errors while it reads or validates one file.
struct FaultCollector {
  const std::string& file;
  std::vector<Fault>& faults;
  bool loadFailed = false;  // the first error was that the file could not be opened
};

void collectFault(void* user, xmlErrorPtr error) {
  auto& collector = *static_cast<FaultCollector*>(user);
  std::vector<Fault>& faults = collector.faults;
  const std::string message = toOneLine(error->message == nullptr ? "unknown XML error" : error->message);
  // The schema validator reports an invalid value twice; the second message is less specific.
  const bool repeatsLastFault = !faults.empty() && faults.back().line == error->line &&
                                message.find("is not a valid value of the") != std::string::npos;
  if (repeatsLastFault) return;
  if (faults.empty()) collector.loadFailed = error->code == XML_IO_LOAD_ERROR;
  faults.push_back({collector.file, error->line, message, remedyFor(message)});
}

void initializeLibrary() {
  static std::once_flag once;
  std::call_once(once, xmlInitParser);
}

// Runs `read` and collects the parser's errors. Returns null if the document cannot be parsed, and keeps only
// the first fault then: the others follow from it.
template <class Read>
xmlDoc* readDocument(const std::string& file, std::vector<Fault>& faults, const Read& read) {
  initializeLibrary();
  FaultCollector collector{file, faults};
  xmlSetStructuredErrorFunc(&collector, collectFault);
  xmlDoc* const document = read();
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  if (document != nullptr) return document;
  if (faults.empty() || collector.loadFailed)
    faults = {{file, 0, "the file cannot be read", "specify a file that the router's user can read"}};
  faults.resize(1);
  return nullptr;
}

using SchemaParser = std::unique_ptr<xmlSchemaParserCtxt, decltype(&xmlSchemaFreeParserCtxt)>;
using Schema = std::unique_ptr<xmlSchema, decltype(&xmlSchemaFree)>;
using SchemaValidator = std::unique_ptr<xmlSchemaValidCtxt, decltype(&xmlSchemaFreeValidCtxt)>;

Schema parseSchema(std::string_view text) {
  const SchemaParser parser(xmlSchemaNewMemParserCtxt(text.data(), static_cast<int>(text.size())),
                            xmlSchemaFreeParserCtxt);
  Schema schema(xmlSchemaParse(parser.get()), xmlSchemaFree);
  if (!schema) throw std::logic_error("the built-in XML schema is invalid");
  return schema;
}

}  // namespace

// ---- Element ----
std::string Element::name() const { return reinterpret_cast<const char*>(node_->name); }
int Element::line() const { return static_cast<int>(xmlGetLineNo(node_)); }

bool Element::has(const char* attribute) const {
  return xmlHasProp(node_, reinterpret_cast<const xmlChar*>(attribute)) != nullptr;
}

std::string Element::text(const char* attribute, const std::string& fallback) const {
  xmlChar* const value = xmlGetProp(node_, reinterpret_cast<const xmlChar*>(attribute));
  if (value == nullptr) return fallback;
  std::string text = reinterpret_cast<const char*>(value);
  xmlFree(value);
  return text;
}

double Element::number(const char* attribute, double fallback) const {
  return has(attribute) ? std::strtod(text(attribute).c_str(), nullptr) : fallback;
}

std::uint64_t Element::count(const char* attribute, std::uint64_t fallback) const {
  return has(attribute) ? std::strtoull(text(attribute).c_str(), nullptr, 10) : fallback;
}

std::uint64_t Element::bytes(const char* attribute, std::uint64_t fallback) const {
  return has(attribute) ? parseBytes(text(attribute)).value_or(fallback) : fallback;
}

bool Element::flag(const char* attribute, bool fallback) const {
  if (!has(attribute)) return fallback;
  const std::string value = text(attribute);
  return value == "true" || value == "1";
}

Duration Element::duration(const char* attribute, Duration fallback) const {
  return has(attribute) ? parseDuration(text(attribute)).value_or(fallback) : fallback;
}

std::vector<Element> Element::children() const {
  std::vector<Element> found;
  for (xmlNode* node = node_->children; node != nullptr; node = node->next) {
    if (node->type == XML_ELEMENT_NODE) found.emplace_back(file_, node);
  }
  return found;
}

std::vector<Element> Element::children(std::string_view name) const {
  std::vector<Element> found = children();
  std::erase_if(found, [&](const Element& e) { return e.name() != name; });
  return found;
}

std::optional<Element> Element::child(std::string_view name) const {
  const std::vector<Element> found = children(name);
  return found.empty() ? std::nullopt : std::optional(found.front());
}

// ---- Document ----
void Document::DocumentDeleter::operator()(_xmlDoc* document) const { xmlFreeDoc(document); }

Document Document::load(const std::string& path, std::string_view schema) {
  std::vector<Fault> faults;
  xmlDoc* const document =
      readDocument(path, faults, [&] { return xmlReadFile(path.c_str(), nullptr, kParseOptions); });
  return validate(path, document, std::move(faults), schema);
}

Document Document::parse(std::string_view text, const std::string& name, std::string_view schema) {
  std::vector<Fault> faults;
  xmlDoc* const document = readDocument(name, faults, [&] {
    return xmlReadMemory(text.data(), static_cast<int>(text.size()), name.c_str(), nullptr, kParseOptions);
  });
  return validate(name, document, std::move(faults), schema);
}

Document Document::validate(std::string name, _xmlDoc* document, std::vector<Fault> faults,
                            std::string_view schema) {
  Document validated(std::move(name), document);
  if (document == nullptr) throw InvalidFile(std::move(faults));
  const Schema rules = parseSchema(schema);
  const SchemaValidator validator(xmlSchemaNewValidCtxt(rules.get()), xmlSchemaFreeValidCtxt);
  FaultCollector collector{*validated.name_, faults};
  xmlSchemaSetValidStructuredErrors(validator.get(), collectFault, &collector);
  const int result = xmlSchemaValidateDoc(validator.get(), document);
  if (result != 0 || !faults.empty()) throw InvalidFile(std::move(faults));
  return validated;
}

Element Document::root() const { return {name_.get(), xmlDocGetRootElement(document_.get())}; }

std::string quotedAttribute(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    switch (c) {
      case '&':
        quoted += "&amp;";
        break;
      case '<':
        quoted += "&lt;";
        break;
      case '"':
        quoted += "&quot;";
        break;
      case '\n':
        quoted += "&#10;";
        break;
      default:
        quoted += c;
    }
  }
  return quoted + '"';
}

}  // namespace gannetcourse::config
