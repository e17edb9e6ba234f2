#include "config/xml.h"

#include <libxml/parser.h>
#include <libxml/xmlerror.h>
#include <libxml/xmlschemas.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace gannetcourse::config {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kDurations[] = {{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}};
constexpr Unit kSizes[] = {{"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}, {"", 1}};

// A number that is followed by one of the units.
template <std::size_t N>
std::optional<double> parseUnits(std::string_view text, const Unit (&units)[N]) {
  double value = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || value < 0 || !std::isfinite(value)) return std::nullopt;
  const std::string_view unit(stop, static_cast<std::size_t>(text.data() + text.size() - stop));
  for (const Unit& known : units) {
    if (known.name == unit) return value * known.factor;
  }
  return std::nullopt;
}

std::string oneLine(std::string text) {
  for (auto at = text.find("{urn:"); at != std::string::npos; at = text.find("{urn:", at)) {
    const auto end = text.find('}', at);
    if (end == std::string::npos) break;
    text.erase(at, end - at + 1);
  }
  for (char& c : text) {
    if (c == '\n') c = ' ';
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '.')) text.pop_back();
  return text;
}

// What to do about a message of the XML library.
std::string mendOf(const std::string& message) {
  if (message.find("us|ms|s|min") != std::string::npos)
    return "write a duration with its unit: 250ms, 1.5s, 2min";
  if (message.find("KiB|MiB") != std::string::npos) return "write a size with its unit: 32KiB, 4MiB";
  if (message.find("{1,3}(\\.") != std::string::npos) return "write an address as 127.0.0.1:8080";
  if (message.find("is not allowed") != std::string::npos) return "remove it or correct its name";
  if (message.find("required but missing") != std::string::npos) return "add it";
  if (message.find("not expected") != std::string::npos)
    return "move or rename this element as the schema has it";
  if (message.find("Missing child") != std::string::npos) return "add the missing element";
  if (message.find("enumeration") != std::string::npos) return "use one of the listed values";
  if (message.find("facet") != std::string::npos || message.find("not a valid value") != std::string::npos)
    return "correct the value";
  if (message.find("No matching") != std::string::npos) return "check the root element and its xmlns";
  return "correct the file's XML";
}

struct Collector {
  const std::string& name;
  std::vector<Fault>& faults;
};

void collect(void* user, xmlErrorPtr error) {
  auto& to = *static_cast<Collector*>(user);
  const std::string message = oneLine(error->message == nullptr ? "unreadable" : error->message);
  // The schema checker tells a bad value twice; the second says less.
  if (!to.faults.empty() && to.faults.back().line == error->line &&
      message.find("is not a valid value of the") != std::string::npos)
    return;
  to.faults.push_back({to.name, error->line, message, mendOf(message)});
}

void prepareLibrary() {
  static const bool kDone = [] {
    xmlInitParser();
    return true;
  }();
  static_cast<void>(kDone);
}

constexpr int kParseOptions = XML_PARSE_NONET | XML_PARSE_BIG_LINES;

// Reads a document while collecting what the parser says; of an unreadable one the first fault is the telling
// one.
template <class Read>
xmlDoc* readWith(const std::string& name, std::vector<Fault>& faults, const Read& read) {
  prepareLibrary();
  Collector collector{name, faults};
  xmlSetStructuredErrorFunc(&collector, collect);
  xmlDoc* const document = read();
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  if (document != nullptr) return document;
  if (faults.empty()) faults.push_back({name, 0, "cannot be read", "check the path and its rights"});
  faults.resize(1);
  if (faults.front().reason.find("failed to load") != std::string::npos)
    faults.front() = {name, 0, "cannot be read", "check the path and its rights"};
  return nullptr;
}

}  // namespace

std::string Fault::text() const {
  return file + ":" + std::to_string(line) + ": " + reason + (remedy.empty() ? "" : "; " + remedy);
}

InvalidFile::InvalidFile(std::vector<Fault> faults)
    : std::runtime_error(faults.empty() ? "unusable file" : faults.front().text()),
      faults_(std::move(faults)) {}

std::optional<Duration> parseDuration(std::string_view text) {
  const auto seconds = parseUnits(text, kDurations);
  return seconds ? std::optional(Duration(*seconds)) : std::nullopt;
}

std::string formatDuration(Duration duration) {
  const double seconds = duration.count();
  char buffer[64];
  const char* unit = seconds >= 1 ? "s" : seconds >= 1e-3 ? "ms" : "us";
  const double factor = seconds >= 1 ? 1 : seconds >= 1e-3 ? 1e3 : 1e6;
  std::snprintf(buffer, sizeof buffer, "%.6g%s", seconds * factor, unit);
  return buffer;
}

std::optional<std::uint64_t> parseBytes(std::string_view text) {
  const auto bytes = parseUnits(text, kSizes);
  return bytes ? std::optional(static_cast<std::uint64_t>(*bytes)) : std::nullopt;
}

// ---- Element ----
std::string Element::name() const { return reinterpret_cast<const char*>(node_->name); }
int Element::line() const { return static_cast<int>(xmlGetLineNo(node_)); }

bool Element::has(const char* attribute) const {
  return xmlHasProp(node_, reinterpret_cast<const xmlChar*>(attribute)) != nullptr;
}

std::string Element::text(const char* attribute, const std::string& otherwise) const {
  xmlChar* const value = xmlGetProp(node_, reinterpret_cast<const xmlChar*>(attribute));
  if (value == nullptr) return otherwise;
  std::string text = reinterpret_cast<const char*>(value);
  xmlFree(value);
  return text;
}

double Element::number(const char* attribute, double otherwise) const {
  return has(attribute) ? std::strtod(text(attribute).c_str(), nullptr) : otherwise;
}

std::uint64_t Element::count(const char* attribute, std::uint64_t otherwise) const {
  return has(attribute) ? std::strtoull(text(attribute).c_str(), nullptr, 10) : otherwise;
}

std::uint64_t Element::bytes(const char* attribute, std::uint64_t otherwise) const {
  return has(attribute) ? parseBytes(text(attribute)).value_or(otherwise) : otherwise;
}

bool Element::flag(const char* attribute, bool otherwise) const {
  if (!has(attribute)) return otherwise;
  const std::string value = text(attribute);
  return value == "true" || value == "1";
}

Duration Element::duration(const char* attribute, Duration otherwise) const {
  return has(attribute) ? parseDuration(text(attribute)).value_or(otherwise) : otherwise;
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
      readWith(path, faults, [&] { return xmlReadFile(path.c_str(), nullptr, kParseOptions); });
  return validate(path, document, std::move(faults), schema);
}

Document Document::parse(std::string_view text, const std::string& name, std::string_view schema) {
  std::vector<Fault> faults;
  xmlDoc* const document = readWith(name, faults, [&] {
    return xmlReadMemory(text.data(), static_cast<int>(text.size()), name.c_str(), nullptr, kParseOptions);
  });
  return validate(name, document, std::move(faults), schema);
}

Document Document::validate(std::string name, _xmlDoc* document, std::vector<Fault> faults,
                            std::string_view schema) {
  Document checked(std::move(name), document);
  if (document == nullptr) throw InvalidFile(std::move(faults));
  xmlSchemaParserCtxt* const parser =
      xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size()));
  xmlSchema* const rules = xmlSchemaParse(parser);
  xmlSchemaFreeParserCtxt(parser);
  if (rules == nullptr) throw std::logic_error("the built-in schema is broken");
  xmlSchemaValidCtxt* const validator = xmlSchemaNewValidCtxt(rules);
  Collector collector{*checked.name_, faults};
  xmlSchemaSetValidStructuredErrors(validator, collect, &collector);
  const int result = xmlSchemaValidateDoc(validator, document);
  xmlSchemaFreeValidCtxt(validator);
  xmlSchemaFree(rules);
  if (result != 0 || !faults.empty()) throw InvalidFile(std::move(faults));
  return checked;
}

Element Document::root() const { return {name_.get(), xmlDocGetRootElement(document_.get())}; }

std::string quotedAttribute(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\n':
        out += "&#10;";
        break;
      default:
        out += c;
    }
  }
  return out + '"';
}

}  // namespace gannetcourse::config
