#ifndef TOUCANDOCK_NET_HEADER_NAMES_H_
#define TOUCANDOCK_NET_HEADER_NAMES_H_

#include <string>

namespace toucandock::net {

// Names of the HTTP headers that carry data about a request between callers,
// hosts and targets. Each front end has its own names.
struct HeaderNames {
  std::string request_id;
  // Remaining time in milliseconds that the sender (caller or host) waits for
  // the response.
  std::string deadline;
  // Key of the request, for services whose targets own keys.
  std::string key;
  // Id of the target that the request is meant for.
  std::string expected_target;
  // Present in a response if the target did not run the request.
  std::string not_executed;
  // Numbers of the target's running requests, waiting requests and slots,
  // separated by commas.
  std::string target_load;
  // Digest that shows that the response was created by a target.
  std::string answer_digest;
  // With the value 1 in a response: the target is about to end and wants no new
  // requests.
  std::string leaving;
  // Id of the target that created a response.
  std::string target_id;
  // In a response to a health request: for how many milliseconds the target
  // remains cold.
  std::string warm_up_left;
};

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_HEADER_NAMES_H_
