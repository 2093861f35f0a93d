#include "core/config/config.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::core::config {
namespace {

// Safe methods of RFC 9110, section 9.2.1; everything else may change state.
bool IsSafeMethod(absl::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

const TargetConfig* FindTarget(const ServiceConfig& service,
                               absl::string_view address) {
  for (const TargetConfig& target : service.targets) {
    if (target.address == address) {
      return &target;
    }
  }
  return nullptr;
}

void DiffService(const ServiceConfig& from,
                 const ServiceConfig& to,
                 std::vector<std::string>& lines) {
  for (const TargetConfig& target : from.targets) {
    if (FindTarget(to, target.address) == nullptr) {
      lines.push_back(absl::StrCat("- ", to.name, ": target ", target.address));
    }
  }
  for (const TargetConfig& target : to.targets) {
    const TargetConfig* old = FindTarget(from, target.address);
    if (old == nullptr) {
      lines.push_back(absl::StrCat("+ ", to.name, ": target ", target.address));
    } else if (!(*old == target)) {
      lines.push_back(absl::StrCat("~ ", to.name, ": target ", target.address));
    }
  }
  ServiceConfig rest_from = from;
  ServiceConfig rest_to = to;
  rest_from.targets.clear();
  rest_to.targets.clear();
  if (!(rest_from == rest_to)) {
    lines.push_back(absl::StrCat("~ ", to.name, ": settings"));
  }
}

}  // namespace

TargetId MakeTargetId(const ServiceConfig& service,
                      const TargetConfig& target) {
  return absl::StrCat(service.name, "/", target.address);
}

// Returns nullptr when no service has this name.
const ServiceConfig* FindService(const Config& config, absl::string_view name) {
  for (const ServiceConfig& service : config.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

// Returns the first class of the service that matches. A request that matches
// none is short, and idempotent only if its method is safe.
const ClassConfig& FindClass(const ServiceConfig& service,
                             absl::string_view method,
                             absl::string_view path) {
  static const ClassConfig kReads = {.name = "reads", .idempotent = true};
  static const ClassConfig kWrites = {.name = "writes"};
  for (const ClassConfig& it : service.classes) {
    if (!absl::StartsWith(path, it.path_prefix)) {
      continue;
    }
    if (it.methods.empty() || std::find(it.methods.begin(), it.methods.end(),
                                        method) != it.methods.end()) {
      return it;
    }
  }
  return IsSafeMethod(method) ? kReads : kWrites;
}

// Returns one line for each service, target or group of settings that differs.
std::vector<std::string> Diff(const Config& from, const Config& to) {
  std::vector<std::string> lines;
  for (const ServiceConfig& service : from.services) {
    if (FindService(to, service.name) == nullptr) {
      lines.push_back(absl::StrCat("- service ", service.name));
    }
  }
  for (const ServiceConfig& service : to.services) {
    const ServiceConfig* old = FindService(from, service.name);
    if (old == nullptr) {
      lines.push_back(absl::StrCat("+ service ", service.name));
      continue;
    }
    DiffService(*old, service, lines);
  }
  return lines;
}

}  // namespace toucandock::core::config
