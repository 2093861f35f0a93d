#ifndef TOUCANDOCK_CORE_CONFIG_CONFIG_H_
#define TOUCANDOCK_CORE_CONFIG_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::config {

// A server that owns keys of a service, as the operator configures it.
struct TargetConfig {
  std::string address;
  std::string failure_domain;
  bool checks_fences = false;

  bool operator==(const TargetConfig&) const = default;
};

enum class WorkLength { kShort, kLong };

// A class of requests of one service that share limits; the first class that
// matches applies.
struct ClassConfig {
  std::string name;
  std::string path_prefix = "/";
  // Empty if the class applies to all methods.
  std::vector<std::string> methods;
  bool idempotent = false;
  WorkLength length = WorkLength::kShort;
  Duration deadline = std::chrono::seconds(10);

  bool operator==(const ClassConfig&) const = default;
};

struct ServiceConfig {
  std::string name;
  bool keyed = false;
  std::uint32_t shards = 64;
  // Maximum number of requests that a target runs at a time.
  std::uint32_t slots = 4;
  std::uint32_t connections = 130;
  // Maximum number of requests that may wait for one target.
  std::uint32_t queue = 64;
  // Number of targets that one request may crash before it is refused.
  std::uint32_t crash_limit = 2;
  std::vector<std::string> depends_on;
  std::vector<ClassConfig> classes;
  std::vector<TargetConfig> targets;

  bool operator==(const ServiceConfig&) const = default;
};

struct Config {
  std::vector<ServiceConfig> services;

  bool operator==(const Config&) const = default;
};

TargetId MakeTargetId(const ServiceConfig& service, const TargetConfig& target);

const ServiceConfig* FindService(const Config& config, absl::string_view name);

const ClassConfig& FindClass(const ServiceConfig& service,
                             absl::string_view method,
                             absl::string_view path);

std::vector<std::string> Diff(const Config& from, const Config& to);

}  // namespace toucandock::core::config

#endif  // TOUCANDOCK_CORE_CONFIG_CONFIG_H_
