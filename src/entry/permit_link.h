#ifndef TOUCANDOCK_ENTRY_PERMIT_LINK_H_
#define TOUCANDOCK_ENTRY_PERMIT_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/discovery/target_directory.h"
#include "core/time.h"
#include "core/warmup/permit_issuer.h"

namespace toucandock::entry {

struct PermitLinkHooks {
  std::function<core::TimePoint()> now;
  // Sends a datagram to the peer port of another host.
  std::function<void(const std::string& address, const std::string& text)> send;
  // Peer address of the leader as far as this host knows; empty if it does not.
  std::function<std::string()> leader_address;
  // Passes answers to the traffic thread of this host.
  std::function<void(const std::vector<core::warmup::PermitAnswer>&)> deliver;
};

// Carries questions about permits from this host's requests to the leader, and
// answers those of all hosts on the leader. Used on the control thread only.
class PermitLink {
 public:
  PermitLink(const core::warmup::ColdBound& bound,
             const core::warmup::IssuerOptions& options,
             PermitLinkHooks hooks);

  void OnLeadership(bool is_leader, core::TimePoint confirmed_at);
  void SetRates(std::map<core::discovery::TargetInstance, double> rates);
  // Sends questions of this host, or answers them if it is the leader.
  void Ask(const std::vector<core::warmup::PermitQuestion>& questions);
  // Takes a datagram of another host.
  void OnMessage(const std::string& text, const std::string& from);
  // Logs when this host begins or ceases to issue permits, and how many it has
  // issued.
  void Tick();

 private:
  std::vector<core::warmup::PermitAnswer> AnswersTo(
      const std::vector<core::warmup::PermitQuestion>& questions,
      const std::string& asker);

  const PermitLinkHooks hooks_;
  core::warmup::PermitIssuer issuer_;
  bool is_leader_ = false;
  bool was_issuing_ = false;
  // Since the last log line.
  std::uint64_t issued_ = 0;
  std::uint64_t refused_ = 0;
  core::TimePoint logged_at_{};
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PERMIT_LINK_H_
