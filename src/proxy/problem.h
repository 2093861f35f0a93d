#ifndef TOUCANDOCK_PROXY_PROBLEM_H_
#define TOUCANDOCK_PROXY_PROBLEM_H_

#include <string>

#include "core/error_kind.h"
#include "http/message.h"

namespace toucandock::proxy {

http::Response ProblemResponse(core::ErrorKind kind,
                               core::Outcome outcome,
                               const std::string& detail,
                               const std::string& request_id);

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_PROBLEM_H_
