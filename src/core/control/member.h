#ifndef TOUCANDOCK_CORE_CONTROL_MEMBER_H_
#define TOUCANDOCK_CORE_CONTROL_MEMBER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/control/messages.h"
#include "core/control/replica.h"
#include "core/lease/lease.h"

namespace toucandock::core::control {

// The tasks of a host as a member of the fleet: it renews its serving lease
// with the leader, votes, and becomes a candidate when the leader is lost.
class Member {
 public:
  Member(const HostInfo& self,
         const lease::LeaseOptions& options,
         std::vector<HostInfo> seeds,
         Replica& replica);

  // Time until which this host may send requests to owners of keys.
  TimePoint lease_until() const { return lease_until_; }
  const std::optional<HostInfo>& leader() const { return leader_; }
  const Ballot& promised() const { return promised_; }
  std::uint64_t acked_sequence() const { return acked_sequence_; }
  const std::vector<Unit>& busy() const { return busy_; }
  std::map<std::string, placement::ServiceRates> TakeRates();

  void OnTick(const TickEvent& tick, TimePoint now);
  void OnRenewReply(const RenewReplyEvent& event, TimePoint now, Actions& out);
  VoteReply OnVoteRequest(const VoteRequest& request, TimePoint now);
  void OnVoteReply(const VoteReplyEvent& event);
  void OnNotify() { renew_now_ = true; }
  void AddObservation(const detection::Observation& observation);
  void SetLeaving();

  // Sends all messages that are due. Returns the leader state to continue from
  // when this host has just won an election.
  std::optional<LeaderState> Step(TimePoint now, Actions& out);

  // Used while this host itself is the leader.
  void ContinueLeading(const Ballot& ballot,
                       TimePoint authority_until,
                       TimePoint lease_until);
  void StopLeading(TimePoint now);
  // Starts an election without waiting for a timeout.
  void Campaign(TimePoint now, Actions& out);

 private:
  struct Candidacy {
    Ballot ballot;
    std::set<HostId> granted;
    LeaderState latest_leader_state;
    HostInfo latest_leader_state_from;
    TimePoint started;
  };

  bool IsEligible() const;
  Duration ElectionDelay() const;
  void SendRenewal(TimePoint now, Actions& out);
  std::vector<detection::Observation> TakeObservations();
  void Probe(const std::vector<TargetId>& suspects,
             TimePoint now,
             Actions& out);
  std::optional<HostInfo> NextContact();
  void TryPendingLeaderState(TimePoint now, Actions& out);
  std::optional<LeaderState> StepCandidacy(TimePoint now, Actions& out);
  void StartCandidacy(TimePoint now, Actions& out);
  void OnNotLeaderReply(const RenewReplyEvent& event, TimePoint now);
  void SetLeader(const HostInfo& leader, TimePoint now);
  void ClearLeader();
  void ResetOnNewMembership();

  const HostInfo self_;
  const lease::LeaseOptions options_;
  const std::vector<HostInfo> seeds_;
  Replica& replica_;

  Offset membership_offset_ = 0;
  // Highest ballot that this host has voted for or followed. Its own
  // candidacies do not count until they are won: a host that was cut off and
  // asked for votes without success must be able to follow the current leader.
  Ballot promised_;
  // Highest ballot number that this host has seen or used.
  std::uint64_t highest_ballot_number_ = 0;
  // The leader to which `support_until_` was promised.
  HostId supported_leader_;
  std::optional<HostInfo> leader_;
  // Last time at which the leader replied or another host named it as the
  // leader.
  TimePoint leader_confirmed_at_;
  std::optional<Duration> leader_time_;
  TimePoint leader_time_received_;
  bool is_leading_ = false;
  TimePoint authority_until_;
  TimePoint lease_until_;
  // Until this time, the host votes for no other candidate.
  TimePoint support_until_;
  TimePoint last_sent_;
  TimePoint last_contact_;
  bool renew_now_ = false;
  bool leaving_ = false;
  std::vector<Unit> busy_;
  // Request rates that have not been reported to the leader yet.
  std::map<std::string, placement::ServiceRates> rates_;
  std::uint64_t acked_sequence_ = 0;
  using ObservationKey = std::pair<TargetId, detection::ObservationSource>;
  // Observations that have not been sent with a renewal yet.
  std::map<ObservationKey, detection::Observation> observations_;
  // Keys for which the last observation that was sent to the leader was a
  // failure.
  std::set<ObservationKey> reported_failures_;
  std::map<TargetId, TimePoint> probed_at_;
  // A leader state that refers to records which this host has not read yet.
  std::optional<LeaderState> pending_leader_state_;
  TimePoint leader_state_pending_since_;
  std::optional<Candidacy> candidacy_;
  size_t next_contact_ = 0;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_MEMBER_H_
