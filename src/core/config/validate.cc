#include "core/config/validate.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "util/text_check.h"

namespace toucandock::core::config {
namespace {

constexpr size_t kMaxServices = 1'000;
constexpr size_t kMaxTargets = 8'000;
constexpr std::uint32_t kMaxShards = 65'536;
constexpr std::uint32_t kMaxSlots = 1'024;
constexpr std::uint32_t kMaxQueue = 65'536;

class Validator {
 public:
  explicit Validator(const Config& config) : config_(config) {}

  std::vector<ConfigError> Run() {
    CheckCount("services", config_.services.size(), kMaxServices);
    std::set<std::string> names;
    for (size_t n = 0; n < config_.services.size(); ++n) {
      const std::string field = absl::StrCat("services[", n, "]");
      const ServiceConfig& service = config_.services[n];
      if (!names.insert(service.name).second) {
        Add(field + ".name", absl::StrCat("the name '", service.name,
                                          "' is used by two services"));
      }
      CheckService(field, service);
    }
    CheckCycles();
    return std::move(errors_);
  }

 private:
  void Add(std::string field, std::string message) {
    errors_.push_back({std::move(field), std::move(message)});
  }

  void CheckCount(const std::string& field, size_t count, size_t limit) {
    if (count == 0) {
      Add(field, "the list is empty; name at least one");
    }
    if (count > limit) {
      Add(field, absl::StrCat(count, " entries; the limit is ", limit));
    }
  }

  void CheckRange(const std::string& field,
                  std::uint32_t value,
                  std::uint32_t limit) {
    if (value == 0 || value > limit) {
      Add(field, absl::StrCat(value, " is outside 1 to ", limit));
    }
  }

  void CheckName(const std::string& field, const std::string& name) {
    if (!util::IsName(name)) {
      Add(field, absl::StrCat("'", name,
                              "' is not a name; use 1 to 63 of a-z, 0-9, -"));
    }
  }

  void CheckService(const std::string& field, const ServiceConfig& service) {
    CheckName(field + ".name", service.name);
    CheckRange(field + ".shards", service.shards, kMaxShards);
    CheckRange(field + ".slots", service.slots, kMaxSlots);
    CheckRange(field + ".connections", service.connections, kMaxQueue);
    CheckRange(field + ".queue", service.queue, kMaxQueue);
    CheckRange(field + ".crash_limit", service.crash_limit, kMaxSlots);
    if (service.connections < service.slots) {
      Add(field + ".connections", "must be at least the number of slots");
    }
    CheckCount(field + ".targets", service.targets.size(), kMaxTargets);
    CheckDependencies(field, service);
    CheckTargets(field, service);
    CheckClasses(field, service);
  }

  void CheckDependencies(const std::string& field,
                         const ServiceConfig& service) {
    for (size_t n = 0; n < service.depends_on.size(); ++n) {
      if (FindService(config_, service.depends_on[n]) == nullptr) {
        Add(absl::StrCat(field, ".depends_on[", n, "]"),
            absl::StrCat("no service is named '", service.depends_on[n], "'"));
      }
    }
  }

  void CheckTargets(const std::string& field, const ServiceConfig& service) {
    std::set<std::string> addresses;
    for (size_t n = 0; n < service.targets.size(); ++n) {
      const TargetConfig& target = service.targets[n];
      const std::string at = absl::StrCat(field, ".targets[", n, "]");
      if (!util::IsAddress(target.address)) {
        Add(at + ".address",
            absl::StrCat("'", target.address,
                         "' is not an address; write IP:PORT, such as "
                         "10.0.0.7:8080"));
      }
      if (!addresses.insert(target.address).second) {
        Add(at + ".address",
            absl::StrCat("'", target.address, "' is listed twice"));
      }
      CheckName(at + ".failure_domain", target.failure_domain);
    }
  }

  void CheckClasses(const std::string& field, const ServiceConfig& service) {
    std::set<std::string> names;
    for (size_t n = 0; n < service.classes.size(); ++n) {
      const ClassConfig& it = service.classes[n];
      const std::string at = absl::StrCat(field, ".classes[", n, "]");
      CheckName(at + ".name", it.name);
      if (!names.insert(it.name).second) {
        Add(at + ".name", absl::StrCat("'", it.name, "' is listed twice"));
      }
      if (it.path_prefix.empty() || it.path_prefix[0] != '/') {
        Add(at + ".path_prefix", "must start with /");
      }
      CheckMethods(at, it.methods);
      if (it.deadline <= Duration::zero()) {
        Add(at + ".deadline", "must be longer than 0");
      }
    }
  }

  // Methods are case-sensitive (RFC 9110, section 9.1), so "get" would match no
  // request.
  void CheckMethods(const std::string& at,
                    const std::vector<std::string>& methods) {
    for (size_t n = 0; n < methods.size(); ++n) {
      const std::string& method = methods[n];
      if (method.empty() ||
          !std::all_of(method.begin(), method.end(),
                       [](char c) { return c >= 'A' && c <= 'Z'; })) {
        Add(absl::StrCat(at, ".methods[", n, "]"),
            absl::StrCat("'", method,
                         "' is not a method; write it in capitals, such as "
                         "GET"));
      }
    }
  }

  // Depth-first search; a service that is reached again while its own
  // dependencies are being visited closes a cycle.
  void CheckCycles() {
    for (const ServiceConfig& service : config_.services) {
      std::vector<std::string> path;
      if (FindCycle(service, path)) {
        Add("services", absl::StrCat("the dependencies form a cycle: ",
                                     absl::StrJoin(path, " -> ")));
        return;
      }
    }
  }

  bool FindCycle(const ServiceConfig& service, std::vector<std::string>& path) {
    const bool repeated =
        std::find(path.begin(), path.end(), service.name) != path.end();
    path.push_back(service.name);
    if (repeated) {
      return true;
    }
    if (finished_.contains(service.name)) {
      path.pop_back();
      return false;
    }
    for (const std::string& name : service.depends_on) {
      const ServiceConfig* next = FindService(config_, name);
      if (next != nullptr && FindCycle(*next, path)) {
        return true;
      }
    }
    finished_.insert(service.name);
    path.pop_back();
    return false;
  }

  const Config& config_;
  std::vector<ConfigError> errors_;
  std::set<std::string> finished_;
};

}  // namespace

// Returns all errors at once, so that an operator can correct them in one go.
std::vector<ConfigError> Validate(const Config& config) {
  return Validator(config).Run();
}

}  // namespace toucandock::core::config
