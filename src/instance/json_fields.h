// Typed access to fields of JSON objects received from the platform.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "gannetcourse/policy.h"

namespace gannetcourse::instance {

using Json = nlohmann::json;

/// The input is malformed; what() names the field and the expected type or value.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws MalformedInput with the text that the field `key` must be `expected`, such as "a string".
[[noreturn]] void throwWrongType(const char* key, const char* expected);

// The functions below throw MalformedInput if the value has the wrong type. `object` must be a JSON object. A
// field with the value null is treated as missing.

/// The field's value, or a null pointer if it is missing.
const Json* findField(const Json& object, const char* key);
/// The field's value; throws MalformedInput if it is missing.
const Json& requireField(const Json& object, const char* key);
/// The field's string; throws MalformedInput if it is missing.
std::string requireString(const Json& object, const char* key);

std::string stringOr(const Json& object, const char* key, const char* fallback);
double numberOr(const Json& object, const char* key, double fallback);
Duration secondsOr(const Json& object, const char* key, double fallback);
std::size_t unsignedOr(const Json& object, const char* key, std::uint64_t fallback, std::uint64_t max);
bool boolOrFalse(const Json& object, const char* key);
/// Parses the field's string of 1 to 16 hex digits; 0 if the field is missing.
std::uint64_t hexKeyOrZero(const Json& object, const char* key);
const Json& objectOrEmpty(const Json& object, const char* key);
const Json& arrayOrEmpty(const Json& object, const char* key);

// Conversions of a single value; `key` is used in the error text only.
std::string asString(const Json& value, const char* key);
double asNumber(const Json& value, const char* key);
bool asBool(const Json& value, const char* key);
std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t max);

/// Parses 1 to 16 hex digits; returns nothing if `digits` is anything else.
std::optional<std::uint64_t> parseHexKey(const std::string& digits);

}  // namespace gannetcourse::instance
