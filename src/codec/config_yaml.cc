#include "codec/config_yaml.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/yaml_reader.h"
#include "core/config/validate.h"

namespace toucandock::codec {
namespace {

using core::config::ClassConfig;
using core::config::Config;
using core::config::ConfigError;
using core::config::ServiceConfig;
using core::config::TargetConfig;
using core::config::WorkLength;

constexpr size_t kMaxTextSize = 256 << 10;

TargetConfig ParseTarget(const YAML::Node& node,
                         const std::string& field,
                         YamlErrors& errors) {
  TargetConfig target;
  YamlMap map(node, field, errors);
  map.Require("address");
  map.Require("failure_domain");
  map.Read("address", target.address);
  map.Read("failure_domain", target.failure_domain);
  map.Read("checks_fences", target.checks_fences);
  return target;
}

ClassConfig ParseClass(const YAML::Node& node,
                       const std::string& field,
                       YamlErrors& errors) {
  ClassConfig result;
  std::string length = "short";
  YamlMap map(node, field, errors);
  map.Require("name");
  map.Read("name", result.name);
  map.Read("path_prefix", result.path_prefix);
  map.Read("methods", result.methods);
  map.Read("idempotent", result.idempotent);
  map.Read("length", length);
  map.Read("deadline", result.deadline);
  if (length == "long") {
    result.length = WorkLength::kLong;
  } else if (length != "short") {
    errors.Add(errors.LineOf(field + ".length"), field + ".length",
               absl::StrCat("'", length, "' is not short or long"));
  }
  return result;
}

ServiceConfig ParseService(const YAML::Node& node,
                           const std::string& field,
                           YamlErrors& errors) {
  ServiceConfig service;
  YamlMap map(node, field, errors);
  map.Require("name");
  map.Require("targets");
  map.Read("name", service.name);
  map.Read("keyed", service.keyed);
  map.Read("shards", service.shards);
  map.Read("slots", service.slots);
  map.Read("connections", service.connections);
  map.Read("queue", service.queue);
  map.Read("crash_limit", service.crash_limit);
  map.Read("depends_on", service.depends_on);
  map.ReadList("classes", [&](const YAML::Node& it, const std::string& at) {
    service.classes.push_back(ParseClass(it, at, errors));
  });
  map.ReadList("targets", [&](const YAML::Node& it, const std::string& at) {
    service.targets.push_back(ParseTarget(it, at, errors));
  });
  return service;
}

}  // namespace

// Reads and validates a configuration. The message has one line per error:
// "file:line: field: what is wrong".
absl::StatusOr<Config> ParseConfig(const std::string& file,
                                   const std::string& text) {
  if (text.size() > kMaxTextSize) {
    return absl::InvalidArgumentError(
        absl::StrCat(file, ": the text is larger than 256 KiB"));
  }
  YAML::Node root;
  if (absl::Status status = LoadYaml(file, text, root); !status.ok()) {
    return status;
  }
  YamlErrors errors(file);
  Config config;
  {
    YamlMap map(root, "", errors);
    map.Require("services");
    map.ReadList("services", [&](const YAML::Node& it, const std::string& at) {
      config.services.push_back(ParseService(it, at, errors));
    });
  }
  // A member that could not be read has its default value, which must not be
  // reported as an error of the author.
  for (const ConfigError& it : core::config::Validate(config)) {
    if (!errors.HasErrorAt(it.field)) {
      errors.Add(errors.LineOf(it.field), it.field, it.message);
    }
  }
  if (!errors.empty()) {
    return errors.ToStatus();
  }
  return config;
}

}  // namespace toucandock::codec
