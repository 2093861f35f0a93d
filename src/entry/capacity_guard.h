#ifndef TOUCANDOCK_ENTRY_CAPACITY_GUARD_H_
#define TOUCANDOCK_ENTRY_CAPACITY_GUARD_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "core/admission/key_admission.h"
#include "core/admission/silent_overflow.h"
#include "core/keyspace/admitted_list.h"
#include "core/time.h"

namespace toucandock::entry {

// What the traffic thread knows of the capacity that all hosts share, by
// service.
class CapacityGuard {
 public:
  void SetAdmitted(const core::keyspace::AdmittedLists& lists,
                   core::TimePoint valid_until);
  core::admission::AdmissionDecision Decide(
      const std::string& service,
      const core::admission::KeyedArrival& arrival,
      core::TimePoint now);
  bool IsLimited(const std::string& service,
                 std::uint32_t key,
                 core::TimePoint now) const;
  size_t LimitedRanges(core::TimePoint now) const;
  core::admission::SilentOverflow& OverflowOf(const std::string& service);

 private:
  const std::uint64_t seed_ = std::random_device{}();
  std::map<std::string, core::admission::KeyAdmission> admissions_;
  std::map<std::string, core::admission::SilentOverflow> overflows_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_CAPACITY_GUARD_H_
