#ifndef TOUCANDOCK_CORE_KEYSPACE_ADMITTED_LIST_H_
#define TOUCANDOCK_CORE_KEYSPACE_ADMITTED_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/keyspace/admitted_fractions.h"
#include "core/time.h"

namespace toucandock::core::keyspace {

// Ranges by service. Services without listed ranges are left out.
using AdmittedLists = std::map<std::string, AdmittedRanges>;

// What one host tells another about the list.
struct AdmittedUpdate {
  // Follows from the content, so that lists of successive leaders have the same
  // version only if they are equal. 0: nothing is listed.
  std::uint32_t version = 0;
  // How long ago the leader computed the list.
  Duration age{};
  // Missing if the receiver knows this version.
  std::optional<AdmittedLists> lists;

  bool operator==(const AdmittedUpdate&) const = default;
};

// The list of admitted fractions as one host knows it. The leader computes it,
// other hosts receive it and pass it on. A list that was computed more than the
// lifetime ago does not hold any more.
class AdmittedList {
 public:
  explicit AdmittedList(Duration lifetime) : lifetime_(lifetime) {}

  void SetComputed(AdmittedLists lists, TimePoint now);
  // Takes an update of the leader or a relay. Returns whether it is used.
  bool OnUpdate(const AdmittedUpdate& update, TimePoint received_at);
  // Returns the update for a host that knows `known_version`; nothing if this
  // host has no list that holds.
  std::optional<AdmittedUpdate> MakeUpdate(std::uint32_t known_version,
                                           TimePoint now) const;

  bool IsValid(TimePoint now) const;
  TimePoint valid_until() const { return computed_at_ + lifetime_; }
  std::uint32_t version() const { return version_; }
  const AdmittedLists& lists() const { return lists_; }

 private:
  const Duration lifetime_;
  AdmittedLists lists_;
  std::uint32_t version_ = 0;
  TimePoint computed_at_{};
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_ADMITTED_LIST_H_
