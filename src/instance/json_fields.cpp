#include "instance/json_fields.h"

namespace gannetcourse::instance {
namespace {

constexpr std::size_t kMaxHexDigits = 16;
constexpr int kHexBase = 16;

}  // namespace

const Json* findField(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& requireField(const Json& object, const char* key) {
  const Json* value = findField(object, key);
  if (value == nullptr) throw MalformedInput(std::string("field '") + key + "' is missing");
  return *value;
}

[[noreturn]] void throwWrongType(const char* key, const char* expected) {
  throw MalformedInput(std::string("field '") + key + "' must be " + expected);
}

std::string asString(const Json& value, const char* key) {
  if (!value.is_string()) throwWrongType(key, "a string");
  return value.get<std::string>();
}

double asNumber(const Json& value, const char* key) {
  if (!value.is_number()) throwWrongType(key, "a number");
  return value.get<double>();
}

bool asBool(const Json& value, const char* key) {
  if (!value.is_boolean()) throwWrongType(key, "true or false");
  return value.get<bool>();
}

std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t max) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
    throwWrongType(key, "an unsigned integer in the allowed range");
  return value.get<std::uint64_t>();
}

std::string requireString(const Json& object, const char* key) {
  return asString(requireField(object, key), key);
}

double numberOr(const Json& object, const char* key, double fallback) {
  const Json* value = findField(object, key);
  return value == nullptr ? fallback : asNumber(*value, key);
}

Duration secondsOr(const Json& object, const char* key, double fallback) {
  return Duration(numberOr(object, key, fallback));
}

bool boolOrFalse(const Json& object, const char* key) {
  const Json* value = findField(object, key);
  return value != nullptr && asBool(*value, key);
}

std::string stringOr(const Json& object, const char* key, const char* fallback) {
  const Json* value = findField(object, key);
  return value == nullptr ? fallback : asString(*value, key);
}

std::size_t unsignedOr(const Json& object, const char* key, std::uint64_t fallback, std::uint64_t max) {
  const Json* value = findField(object, key);
  return value == nullptr ? fallback : asUnsigned(*value, key, max);
}

std::optional<std::uint64_t> parseHexKey(const std::string& digits) {
  if (digits.empty() || digits.size() > kMaxHexDigits ||
      digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(digits, nullptr, kHexBase);
}

std::uint64_t hexKeyOrZero(const Json& object, const char* key) {
  const Json* value = findField(object, key);
  if (value == nullptr) return 0;
  const std::optional<std::uint64_t> parsed = parseHexKey(asString(*value, key));
  if (!parsed) throwWrongType(key, "a string of 1 to 16 hex digits");
  return *parsed;
}

const Json& objectOrEmpty(const Json& object, const char* key) {
  static const Json kEmpty = Json::object();
  const Json* value = findField(object, key);
  if (value == nullptr) return kEmpty;
  if (!value->is_object()) throwWrongType(key, "an object");
  return *value;
}

const Json& arrayOrEmpty(const Json& object, const char* key) {
  static const Json kEmpty = Json::array();
  const Json* value = findField(object, key);
  if (value == nullptr) return kEmpty;
  if (!value->is_array()) throwWrongType(key, "an array");
  return *value;
}

}  // namespace gannetcourse::instance
