#ifndef TOUCANDOCK_CODEC_JSON_H_
#define TOUCANDOCK_CODEC_JSON_H_

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace toucandock::codec {

absl::StatusOr<Json::Value> ParseJson(const std::string& text);

// 1 to 255 visible ASCII characters, without spaces.
bool IsShortToken(const std::string& text);

std::string WriteJson(const Json::Value& value);

Json::Value Uint(std::uint64_t value);

// Reads members of a JSON object and keeps the first error, so that a parse
// function checks once at its end.
class ObjectReader {
 public:
  ObjectReader(const Json::Value& object, absl::Status& status);

  std::string String(const char* name);
  std::uint64_t Uint(const char* name);
  // Fails for numbers above `max_value`, so that no cast truncates the number.
  std::uint64_t UintUpTo(const char* name, std::uint64_t max_value);
  // A name that is valid in a header: up to 255 visible ASCII characters.
  std::string Name(const char* name);
  bool Bool(const char* name);
  double Number(const char* name);
  std::chrono::nanoseconds Nanoseconds(const char* name);
  const Json::Value& Array(const char* name);
  const Json::Value& Object(const char* name);
  bool Has(const char* name) const;
  void Fail(const std::string& message);

 private:
  const Json::Value& Get(const char* name);

  const Json::Value& object_;
  absl::Status& status_;
};

// Parses a text that contains one object. `read` reads its members; the first
// error fails the whole text.
template <typename T>
absl::StatusOr<T> ReadObject(
    const std::string& text,
    const std::function<T(ObjectReader& fields, absl::Status& status)>& read) {
  const absl::StatusOr<Json::Value> json = ParseJson(text);
  if (!json.ok()) {
    return json.status();
  }
  absl::Status status;
  ObjectReader fields(*json, status);
  T result = read(fields, status);
  if (!status.ok()) {
    return status;
  }
  return result;
}

}  // namespace toucandock::codec

#endif  // TOUCANDOCK_CODEC_JSON_H_
