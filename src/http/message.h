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
  // The body was longer than the server's limit and was truncated.
  bool body_too_large = false;
  // Socket of the connection of a received request, used to detect that the
  // sender has gone. Valid until the response is written; negative when there
  // is none.
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
