#ifndef TOUCANDOCK_ENTRY_SETTINGS_WATCH_H_
#define TOUCANDOCK_ENTRY_SETTINGS_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "entry/settings.h"

namespace toucandock::entry {

// Reloads the settings file while the host runs. If the file cannot be read or
// is not valid, the current settings stay in use.
class SettingsWatch {
 public:
  // Called with the current settings when some of them have changed.
  using Apply = std::function<void(const EntrySettings&)>;

  SettingsWatch(boost::asio::io_context& io,
                std::string file,
                std::string text,
                const EntrySettings& current,
                Apply apply);

  // Checks the file at intervals, since it may change without a signal.
  void Start(std::chrono::milliseconds interval);
  // Checks the file now.
  void Check();

 private:
  boost::asio::steady_timer timer_;
  const std::string file_;
  // Text of the file as last read, whether or not it was valid.
  std::string text_;
  EntrySettings current_;
  const Apply apply_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_SETTINGS_WATCH_H_
