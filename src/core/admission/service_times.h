#ifndef TOUCANDOCK_CORE_ADMISSION_SERVICE_TIMES_H_
#define TOUCANDOCK_CORE_ADMISSION_SERVICE_TIMES_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/config/config.h"
#include "core/time.h"

namespace toucandock::core::admission {

// Measured service times of the request classes of one service.
class ServiceTimes {
 public:
  void Add(const std::string& request_class, Duration taken);

  Duration Mean(const std::string& request_class) const;
  Duration UpperEstimate(const std::string& request_class) const;
  config::WorkLength LengthOf(const std::string& request_class,
                              config::WorkLength configured) const;

 private:
  struct ClassStatistics {
    std::uint32_t samples = 0;
    Duration mean{};
    // Mean absolute deviation.
    Duration deviation{};
    bool is_long = false;
  };

  void Classify();

  std::map<std::string, ClassStatistics> classes_;
};

}  // namespace toucandock::core::admission

#endif  // TOUCANDOCK_CORE_ADMISSION_SERVICE_TIMES_H_
