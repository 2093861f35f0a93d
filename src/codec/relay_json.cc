#include "codec/relay_json.h"

#include "codec/json.h"

namespace toucandock::codec {

std::string EncodeRelay(const RelayCall& call) {
  Json::Value value;
  value["address"] = call.address;
  value["method"] = call.method;
  value["params"] = call.params;
  return WriteJson(value);
}

absl::StatusOr<RelayCall> ParseRelay(const std::string& text) {
  const absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  ObjectReader reader(*value, status);
  RelayCall call = {reader.String("address"), reader.String("method"),
                    reader.String("params")};
  if (!status.ok()) {
    return status;
  }
  return call;
}

}  // namespace toucandock::codec
