// Stand-in for the platform's list of hosts. GET /hosts returns the body of the
// last PUT /hosts, so a test decides how far the list lags behind.
#include <mutex>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "standins/serve.h"

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:PORT to serve on");
ABSL_FLAG(std::string, address_file, "", "file for the bound address");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::mutex mutex;
  std::string list = "[]";
  return toucandock::standins::ServeUntilStopped(
      absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_address_file),
      [&](const toucandock::http::Request& request) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (request.method == "PUT") {
          list = request.body;
        }
        return toucandock::http::JsonResponse(200, list);
      });
}
