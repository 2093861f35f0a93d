#ifndef TOUCANDOCK_TESTS_ENTRY_SAMPLE_SETTINGS_H_
#define TOUCANDOCK_TESTS_ENTRY_SAMPLE_SETTINGS_H_

namespace toucandock::entry {

// Valid settings of an entry host.
inline constexpr char kSampleSettings[] =
    "host_name: edge-1\n"
    "failure_domain: lk-west-a\n"
    "ip: 10.1.0.15\n"
    "caller_address: 10.1.0.15:8641\n"
    "readiness_address: 10.1.0.15:8640\n"
    "store_address: 10.200.1.7:8642\n"
    "report_port: 7620\n"
    "longest_lease: 10000ms\n"
    "stop_limit: 6s\n"
    "store_partitions: 24\n"
    "fleet_starts: true\n"
    "retries:\n"
    "  ratio: 0.2\n"
    "  slack: 64\n"
    "  window: 10s\n";

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_TESTS_ENTRY_SAMPLE_SETTINGS_H_
