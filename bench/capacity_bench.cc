// Measures how the cost of the control plane grows with the number of targets,
// units, hot keys and records, for docs/CAPACITY.md.
#include <malloc.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench.h"
#include "codec/message_json.h"
#include "codec/record_json.h"
#include "core/control/control_state.h"
#include "core/control/host_controller.h"
#include "core/control/target_table.h"
#include "core/routing/routing_snapshot.h"

namespace toucandock::bench {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using core::Offset;
using Clock = std::chrono::steady_clock;

constexpr int kRuns = 5;
constexpr std::uint32_t kShardsPerTarget = 8;
constexpr int kHotKeys = 550;
constexpr std::uint32_t kSizes[] = {100, 1'000, 8'000};
// The time of the first placement grows with the square of the number of
// targets, so that costs at larger sizes are extrapolated from these.
constexpr std::uint32_t kLeaderSizes[] = {50, 100, 200, 400};

double Microseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

core::config::Config MakeConfig(std::uint32_t targets) {
  core::config::ServiceConfig service;
  service.name = "callboard";
  service.keyed = true;
  service.shards = targets * kShardsPerTarget;
  for (std::uint32_t n = 0; n < targets; ++n) {
    service.targets.push_back(
        {.address = absl::StrCat("10.", n / 250, ".", n % 250, ".1:8080"),
         .failure_domain = absl::StrCat("d-", n % 18),
         .checks_fences = true});
  }
  return {.services = {service}};
}

ControlHooks MakeHooks(const core::config::Config& config) {
  return {.parse_config = [&config](const std::string&) { return config; },
          .new_record_id = [] { return std::string("id"); }};
}

// Returns the records of one leader: a join record that creates the membership,
// a term, a configuration, and one assignment record for each thousand units.
std::vector<LogEntry> MakeLog(const core::config::Config& config) {
  std::vector<LogEntry> entries;
  const auto add = [&](Ballot ballot, Offset previous_leader_record,
                       RecordBody body) {
    const Offset offset = entries.size();
    entries.push_back(
        {offset, Record{.id = absl::StrCat("r", offset),
                        .author = "a",
                        .ballot = std::move(ballot),
                        .previous_leader_record = previous_leader_record,
                        .body = std::move(body)}});
    return offset;
  };
  // Higher than the ballot that the first join record sets.
  const Ballot ballot{std::uint64_t{1} << 32, "a"};
  Offset last = add({}, 0, JoinRecord{{.id = "a", .peer_address = "a:1"}});
  last = add(ballot, last, TermRecord{});
  const Offset publish = add({}, 0, PublishRecord{"text", "op", 0});
  last = add(ballot, last, AcceptRecord{absl::StrCat("r", publish), 1});
  const core::config::ServiceConfig& service = config.services[0];
  AssignmentRecord assignment_record;
  core::Fence fence = core::Fence{1} << core::kFenceCounterBits;
  const auto append = [&](std::uint64_t number, size_t target) {
    assignment_record.assignments.push_back(
        {{service.name, number},
         {core::config::MakeTargetId(service, service.targets[target]),
          ++fence}});
    if (assignment_record.assignments.size() == 1'000) {
      last = add(ballot, last, std::exchange(assignment_record, {}));
    }
  };
  for (std::uint32_t n = 0; n < service.shards; ++n) {
    append(n, n % service.targets.size());
  }
  for (std::uint64_t n = 0; n < kHotKeys; ++n) {
    append(core::HotKeyNumber(n), n % service.targets.size());
  }
  if (!assignment_record.assignments.empty()) {
    add(ballot, last, assignment_record);
  }
  return entries;
}

LogReadEvent MakeReadEvent(const std::vector<LogEntry>& entries) {
  return {.first_retained = 0, .end = entries.size(), .entries = entries};
}

void MeasureState(Report& report, std::uint32_t targets) {
  const core::config::Config config = MakeConfig(targets);
  const ControlHooks hooks = MakeHooks(config);
  const std::vector<LogEntry> entries = MakeLog(config);
  const double units = targets * kShardsPerTarget + kHotKeys;
  const std::string at = absl::StrCat(", ", targets, " targets");
  Figure apply = {.name = "fold of a settled unit" + at, .unit = "us"};
  Figure memory = {.name = "state, bytes a unit" + at, .unit = "B"};
  Figure snapshot_memory = {.name = "snapshot, bytes a unit" + at, .unit = "B"};
  Figure snapshot_time = {.name = "building a snapshot" + at, .unit = "us"};
  Figure checkpoint = {.name = "checkpoint, bytes a unit" + at, .unit = "B"};
  Figure units_time = {.name = "computing all grants" + at, .unit = "us"};
  for (int n = 0; n < kRuns; ++n) {
    const double before = HeapBytes();
    Replica replica(hooks);
    replica.AddEntries(MakeReadEvent(entries));
    auto start = Clock::now();
    replica.ApplyAll();
    apply.values.push_back(Microseconds(Clock::now() - start) / units);
    memory.values.push_back((HeapBytes() - before) / units);

    const double before_snapshot = HeapBytes();
    start = Clock::now();
    const auto snapshot = core::routing::BuildSnapshot(replica);
    snapshot_time.values.push_back(Microseconds(Clock::now() - start));
    snapshot_memory.values.push_back((HeapBytes() - before_snapshot) / units);

    TargetTable target_table("a", {}, {2, "a"},
                             core::TimePoint(std::chrono::hours(1)));
    target_table.SetTargets(config);
    start = Clock::now();
    target_table.SetUnits(replica);
    units_time.values.push_back(Microseconds(Clock::now() - start));

    const std::string text = codec::EncodeRecord(
        {.body = CheckpointRecord{
             std::make_shared<const ControlState>(replica.state())}});
    checkpoint.values.push_back(static_cast<double>(text.size()) / units);
  }
  for (Figure* it : {&apply, &memory, &snapshot_time, &snapshot_memory,
                     &units_time, &checkpoint}) {
    report.Add(*it);
  }
}

// A cluster of one host, the leader, in virtual time. The log accepts all
// appends and all targets accept all grants.
class SingleHost {
 public:
  explicit SingleHost(const core::config::Config& config)
      : controller_({.self = {.id = "b", .peer_address = "b:1"}},
                    MakeHooks(config)) {}

  // Passes an event to the controller and carries out the resulting actions
  // until there are none.
  void Feed(const Event& event) {
    Actions actions = Handle(event);
    while (!actions.empty()) {
      Actions next;
      for (const Action& it : actions) {
        for (Action& caused : Answer(it)) {
          next.push_back(std::move(caused));
        }
      }
      actions = std::move(next);
    }
  }

  // Delivers a record of another author from the log.
  void Receive(Record record) {
    LogReadEvent read = {.sent_at = now_, .end = next_ + 1};
    read.entries.push_back({next_++, std::move(record)});
    Feed(read);
  }

  void Advance(core::Duration duration) { now_ += duration; }
  Clock::duration spent() const { return spent_; }
  std::uint64_t grants() const { return grants_; }
  const HostController& controller() const { return controller_; }

 private:
  Actions Handle(const Event& event) {
    const auto start = Clock::now();
    Actions actions = controller_.Handle(event, now_);
    spent_ += Clock::now() - start;
    return actions;
  }

  Actions Answer(const Action& action) {
    if (const auto* grant = std::get_if<SendGrantAction>(&action)) {
      ++grants_;
      return Handle(GrantAnswerEvent{grant->grant.target,
                                     grant->grant.sequence,
                                     {.result = ContactResult::kOk,
                                      .clock = now_.time_since_epoch(),
                                      .instance = "i"}});
    }
    if (const auto* append = std::get_if<AppendAction>(&action)) {
      LogReadEvent read = {.sent_at = now_, .end = next_ + 1};
      read.entries.push_back({next_++, append->record});
      Handle(AppendResultEvent{append->record.id, true});
      return Handle(read);
    }
    return {};
  }

  HostController controller_;
  core::TimePoint now_{std::chrono::hours(1)};
  Offset next_ = 0;
  Clock::duration spent_{};
  std::uint64_t grants_ = 0;
};

void MeasureLeader(Report& report, std::uint32_t targets) {
  const core::config::Config config = MakeConfig(targets);
  const std::string at = absl::StrCat(", ", targets, " targets");
  Figure busy = {.name = "leader in a quiet second" + at,
                 .unit = "ms/s",
                 .target = "11 ms/s is 1.1% of a core"};
  constexpr std::chrono::milliseconds kTick{20};
  constexpr int kTicksPerSecond = 50;
  SingleHost host(config);
  host.Feed(LogReadEvent{});
  for (int n = 0; n < 2 * kTicksPerSecond; ++n) {
    host.Advance(kTick);
    host.Feed(TickEvent{});
  }
  host.Receive(
      {.id = "p", .author = "op", .body = PublishRecord{"text", "op", 0}});
  for (int n = 0; n < 3 * kTicksPerSecond; ++n) {
    host.Advance(kTick);
    host.Feed(TickEvent{});
  }
  for (int run = 0; run < kRuns; ++run) {
    const Clock::duration before = host.spent();
    for (int n = 0; n < kTicksPerSecond; ++n) {
      host.Advance(kTick);
      host.Feed(TickEvent{});
    }
    busy.values.push_back(Microseconds(host.spent() - before) / 1'000);
  }
  report.Add(busy);
}

void MeasureMessages(Report& report) {
  RenewRequest request;
  request.host = {.id = "entry1-0123456789abcdef",
                  .peer_address = "10.0.0.1:7001",
                  .caller_address = "10.0.0.1:7002",
                  .failure_domain = "lk-west-1"};
  RenewReply reply = {.host = request.host.id,
                      .accepted = true,
                      .leader = request.host,
                      .lease = true};
  const auto size = [](const std::string& text) {
    return static_cast<double>(text.size());
  };
  const double quiet =
      size(codec::Encode(request)) + size(codec::Encode(reply));
  report.Add(
      {.name = "renewal, request and reply", .unit = "B", .values = {quiet}});
  reply.leader_state = LeaderState{};
  const double empty = size(codec::Encode(reply));
  constexpr int kMoves = 1'000;
  for (int n = 0; n < kMoves; ++n) {
    reply.leader_state->moves.push_back(
        {.unit = {"callboard", static_cast<std::uint64_t>(n)},
         .to = {"callboard/10.0.0.1:8080", core::Fence{1} << 40},
         .from = "callboard/10.0.0.2:8080"});
  }
  report.Add({.name = "move in a directive",
              .unit = "B",
              .values = {(size(codec::Encode(reply)) - empty) / kMoves}});
  core::placement::ServiceRates rates;
  rates.shards.assign(64, 12.5);
  for (std::uint64_t n = 0; n < 16; ++n) {
    rates.hottest.push_back({core::HashKey(absl::StrCat(n)), 25});
  }
  const double without = size(codec::Encode(request));
  request.rates["callboard"] = rates;
  report.Add({.name = "rates of a service, 64 shards and 16 keys",
              .unit = "B",
              .values = {size(codec::Encode(request)) - without}});
}

void Run(Report& report) {
  for (const std::uint32_t targets : kSizes) {
    MeasureState(report, targets);
  }
  for (const std::uint32_t targets : kLeaderSizes) {
    MeasureLeader(report, targets);
  }
  MeasureMessages(report);
}

const Registration kRegistration("capacity", Run);

}  // namespace
}  // namespace toucandock::bench
