#ifndef TOUCANDOCK_PEER_JSON_RPC_H_
#define TOUCANDOCK_PEER_JSON_RPC_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

// This header is also compiled as C++14, so it uses standard types only.
namespace toucandock {
namespace peer {

// Receives a method's parameters, a JSON object, and returns the result, a JSON
// value. An empty text means that the method failed.
using MethodHandler = std::function<std::string(const std::string& params)>;

struct Method {
  std::string name;
  MethodHandler handler;
};

// Handles JSON-RPC 2.0 requests. The caller provides the transport.
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

// Sends a request and returns the reply; an empty text means that none arrived.
using Transport = std::function<std::string(const std::string& request)>;

// Calls a method with a JSON object as its parameters. Returns the result, or
// an empty text when there was no reply or the reply was an error.
std::string CallMethod(const Transport& transport,
                       const std::string& method,
                       const std::string& params);

}  // namespace peer
}  // namespace toucandock

#endif  // TOUCANDOCK_PEER_JSON_RPC_H_
