#ifndef TOUCANDOCK_PEER_JSON_RPC_H_
#define TOUCANDOCK_PEER_JSON_RPC_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

// This header is also read as C++14, so it uses standard types only.
namespace toucandock {
namespace peer {

// Called with a method's parameters, a JSON object; returns the result, a JSON
// value. An empty text reports that the method failed.
using MethodHandler = std::function<std::string(const std::string& params)>;

struct Method {
  std::string name;
  MethodHandler handler;
};

// Answers JSON-RPC 2.0 requests; the transport is left to the caller.
class JsonRpcServer {
 public:
  explicit JsonRpcServer(std::vector<Method> methods);
  ~JsonRpcServer();

  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  std::string Handle(const std::string& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends a request and returns the answer; an empty text means none arrived.
using Transport = std::function<std::string(const std::string& request)>;

std::string CallMethod(const Transport& transport,
                       const std::string& method,
                       const std::string& params);

}  // namespace peer
}  // namespace toucandock

#endif  // TOUCANDOCK_PEER_JSON_RPC_H_
