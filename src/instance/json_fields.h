// Typed access to the fields of JSON objects that come from the platform.
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

/// Input that does not have the form that it should have; what() names the field.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Throws MalformedInput: the field `key` is not `expected`, such as "a string".
[[noreturn]] void throwWrongType(const char* key, const char* expected);

// All that follow throw MalformedInput where the value is of the wrong type. `object` must be a JSON object.
// A field that is null counts as missing.

/// The field's value; null where it is missing.
const Json* findField(const Json& object, const char* key);
/// The field's value; throws where it is missing.
const Json& requireField(const Json& object, const char* key);
/// The string of the field; throws where it is missing.
std::string requireString(const Json& object, const char* key);

std::string stringOr(const Json& object, const char* key, const char* fallback);
double numberOr(const Json& object, const char* key, double fallback);
Duration secondsOr(const Json& object, const char* key, double fallback);
std::size_t unsignedOr(const Json& object, const char* key, std::uint64_t fallback, std::uint64_t max);
bool boolOrFalse(const Json& object, const char* key);
/// A key of 1 to 16 hex digits; 0 where it is missing.
std::uint64_t hexKeyOrZero(const Json& object, const char* key);
const Json& objectOrEmpty(const Json& object, const char* key);
const Json& arrayOrEmpty(const Json& object, const char* key);

// Conversions of one value; `key` is for the error.
std::string asString(const Json& value, const char* key);
double asNumber(const Json& value, const char* key);
bool asBool(const Json& value, const char* key);
std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t max);

/// Parses 1 to 16 hex digits; nothing where they are none.
std::optional<std::uint64_t> parseHexKey(const std::string& digits);

}  // namespace gannetcourse::instance
