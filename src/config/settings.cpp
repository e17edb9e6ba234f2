#include "config/settings.h"

#include "config/settings_reader.h"
#include "config/settings_rules.h"

namespace gannetcourse::config {
namespace {

NodeSettings readChecked(const Document& document) {
  std::vector<Fault> faults;
  NodeSettings settings = readSettings(document.root(), faults);
  checkRules(document.root(), settings, faults);
  if (!faults.empty()) throw InvalidFile(std::move(faults));
  return settings;
}

}  // namespace

NodeSettings loadSettings(const std::string& path) {
  return readChecked(Document::load(path, settingsSchema()));
}

NodeSettings parseSettings(std::string_view text, const std::string& name) {
  return readChecked(Document::parse(text, name, settingsSchema()));
}

}  // namespace gannetcourse::config
