#ifndef TOUCANDOCK_HTTP_MESSAGE_H_
#define TOUCANDOCK_HTTP_MESSAGE_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace toucandock::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method = "GET";
  // Percent-encoded as received, without the query.
  std::string path = "/";
  // Without the question mark.
  std::string query;
  Headers headers;
  std::string body;
  // The body was longer than the server's limit and is cut off here.
  bool body_too_large = false;
  // Of a received request: its connection, to see whether the sender is there.
  // Valid until the request is answered; negative when there is none.
  int socket = -1;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

const std::string* FindHeader(const Headers& headers, absl::string_view name);

std::string QueryParameter(const Request& request, absl::string_view name);

Response JsonResponse(int status, std::string body);

}  // namespace toucandock::http

#endif  // TOUCANDOCK_HTTP_MESSAGE_H_
