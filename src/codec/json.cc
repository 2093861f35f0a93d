#include "codec/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace toucandock::codec {
namespace {

constexpr int kMaxDepth = 32;

}  // namespace

absl::StatusOr<Json::Value> ParseJson(const std::string& text) {
  Json::CharReaderBuilder builder;
  builder["allowComments"] = false;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value,
                      &errors)) {
      return value;
    }
  } catch (const Json::Exception& e) {
    errors = e.what();
  }
  // The library writes one line per error.
  std::replace(errors.begin(), errors.end(), '\n', ' ');
  absl::RemoveExtraAsciiWhitespace(&errors);
  return absl::InvalidArgumentError(absl::StrCat("not JSON: ", errors));
}

bool IsShortToken(const std::string& text) {
  constexpr size_t kMaxTokenBytes = 255;
  return !text.empty() && text.size() <= kMaxTokenBytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return absl::ascii_isgraph(c); });
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

// The library has no constructor for std::uint64_t.
Json::Value Uint(std::uint64_t value) {
  return Json::Value(static_cast<Json::UInt64>(value));
}

ObjectReader::ObjectReader(const Json::Value& object, absl::Status& status)
    : object_(object), status_(status) {
  if (!object.isObject()) {
    Fail("expected an object");
  }
}

std::string ObjectReader::String(const char* name) {
  const Json::Value& value = Get(name);
  if (!value.isString()) {
    Fail(absl::StrCat("'", name, "' is not a string"));
    return "";
  }
  return value.asString();
}

std::uint64_t ObjectReader::Uint(const char* name) {
  const Json::Value& value = Get(name);
  if (!value.isUInt64()) {
    Fail(absl::StrCat("'", name, "' is not a whole number"));
    return 0;
  }
  return value.asUInt64();
}

std::uint64_t ObjectReader::UintUpTo(const char* name,
                                     std::uint64_t max_value) {
  const std::uint64_t value = Uint(name);
  if (value > max_value) {
    Fail(absl::StrCat("'", name, "' is above ", max_value));
    return 0;
  }
  return value;
}

std::string ObjectReader::Name(const char* name) {
  std::string value = String(name);
  if (!IsShortToken(value)) {
    Fail(absl::StrCat("'", name, "' is not a name"));
    return "";
  }
  return value;
}

bool ObjectReader::Bool(const char* name) {
  const Json::Value& value = Get(name);
  if (!value.isBool()) {
    Fail(absl::StrCat("'", name, "' is not true or false"));
    return false;
  }
  return value.asBool();
}

double ObjectReader::Number(const char* name) {
  const Json::Value& value = Get(name);
  if (!value.isNumeric()) {
    Fail(absl::StrCat("'", name, "' is not a number"));
    return 0;
  }
  return value.asDouble();
}

std::chrono::nanoseconds ObjectReader::Nanoseconds(const char* name) {
  const Json::Value& value = Get(name);
  if (!value.isInt64()) {
    Fail(absl::StrCat("'", name, "' is not a number of nanoseconds"));
    return {};
  }
  return std::chrono::nanoseconds(value.asInt64());
}

// Returns the array, or an empty one after an error.
const Json::Value& ObjectReader::Array(const char* name) {
  static const Json::Value kEmpty(Json::arrayValue);
  const Json::Value& value = Get(name);
  if (!value.isArray()) {
    Fail(absl::StrCat("'", name, "' is not a list"));
    return kEmpty;
  }
  return value;
}

const Json::Value& ObjectReader::Object(const char* name) {
  static const Json::Value kEmpty(Json::objectValue);
  const Json::Value& value = Get(name);
  if (!value.isObject()) {
    Fail(absl::StrCat("'", name, "' is not an object"));
    return kEmpty;
  }
  return value;
}

bool ObjectReader::Has(const char* name) const {
  return object_.isObject() && object_.isMember(name);
}

void ObjectReader::Fail(const std::string& message) {
  if (status_.ok()) {
    status_ = absl::InvalidArgumentError(message);
  }
}

const Json::Value& ObjectReader::Get(const char* name) {
  return object_.isObject() ? object_[name] : Json::Value::nullSingleton();
}

}  // namespace toucandock::codec
