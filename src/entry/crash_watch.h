#ifndef TOUCANDOCK_ENTRY_CRASH_WATCH_H_
#define TOUCANDOCK_ENTRY_CRASH_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/request/crash_detector.h"
#include "core/request/safe_contents.h"
#include "core/time.h"
#include "entry/entry_metrics.h"
#include "entry/poison_json.h"
#include "entry/routing_view.h"
#include "entry/target_handle.h"
#include "entry/target_notices.h"

namespace toucandock::entry {

struct CrashWatchOptions {
  // See DispatchOptions.
  core::Duration probe_delay{};
  core::Duration rejected_probe_delay{};
  core::Duration probe_limit{};
  core::request::SafeContentOptions safe_contents;
};

struct CrashWatchHooks {
  std::function<bool(const core::discovery::TargetInstance&)> is_listed;
  // Called when a test connection was accepted, or refused because no process
  // listens.
  std::function<void(const TargetHandle&, bool is_accepted, core::TimePoint)>
      on_probed;
  // Reports requests that were in flight when their target ended, and suspected
  // requests that received a complete response.
  std::function<void(const PoisonUpdate&)> report;
};

class Exchange;

// Finds out from the ends of attempts which targets have ended, and which
// requests they were running. Used on the traffic thread only.
class CrashWatch {
 public:
  CrashWatch(boost::asio::io_context& io,
             EntryMetrics& metrics,
             TargetNotices& notices,
             const CrashWatchOptions& options,
             CrashWatchHooks hooks);

  void SetView(const RoutingView& view, core::TimePoint now);
  void OnAttemptEnd(const Exchange& exchange,
                    const std::shared_ptr<TargetHandle>& handle,
                    const TargetAnswer& answer,
                    core::TimePoint now);

 private:
  void OnBroken(const Exchange& exchange,
                const std::shared_ptr<TargetHandle>& handle,
                core::Duration probe_delay,
                core::TimePoint now);
  void ScheduleProbe(const std::shared_ptr<TargetHandle>& handle,
                     core::TimePoint at);
  void ProbeTarget(const std::shared_ptr<TargetHandle>& handle);
  void ReportCrashes(const std::vector<core::request::Crash>& crashes,
                     core::TimePoint now);
  void NoteCompleteAnswer(const Exchange& exchange,
                          const std::string& version,
                          core::TimePoint now);
  void ReportSafeSuspects(core::TimePoint now);

  boost::asio::io_context& io_;
  EntryMetrics& metrics_;
  TargetNotices& notices_;
  const CrashWatchOptions options_;
  const CrashWatchHooks hooks_;
  core::request::CrashDetector crashes_;
  core::request::SafeContents safe_contents_;
  // Fingerprints of suspected requests, with the version of their target.
  std::map<std::string, std::string> suspected_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_CRASH_WATCH_H_
