#include "peer/json_rpc.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace toucandock {
namespace peer {
namespace {

bool Parse(const std::string& text, Json::Value& value) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value,
                         &errors);
  } catch (const Json::Exception&) {
    return false;
  }
}

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

class Connector : public jsonrpc::IClientConnector {
 public:
  explicit Connector(const Transport& transport) : transport_(transport) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    result = transport_(message);
    if (result.empty()) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "the peer sent no reply");
    }
  }

 private:
  const Transport& transport_;
};

}  // namespace

class JsonRpcServer::Impl : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit Impl(std::vector<Method> methods)
      : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    for (Method& it : methods) {
      // Each method's own parse function checks the parameters.
      protocol_->AddProcedure(jsonrpc::Procedure(
          it.name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
      handlers_[it.name] = std::move(it.handler);
    }
  }

  std::string Handle(const std::string& request) {
    std::string answer;
    try {
      protocol_->HandleRequest(request, answer);
    } catch (const std::exception&) {
      // The JSON library throws when a field has a wrong type.
      return "";
    }
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const std::string result =
        handlers_.at(procedure.GetProcedureName())(Write(input));
    if (result.empty() || !Parse(result, output)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      "the call was refused");
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

 private:
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  std::map<std::string, MethodHandler> handlers_;
};

JsonRpcServer::JsonRpcServer(std::vector<Method> methods)
    : impl_(new Impl(std::move(methods))) {}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::Handle(const std::string& request) {
  return impl_->Handle(request);
}

std::string CallMethod(const Transport& transport,
                       const std::string& method,
                       const std::string& params) {
  Json::Value value;
  if (!Parse(params, value)) {
    return "";
  }
  Connector connector(transport);
  try {
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    return Write(client.CallMethod(method, value));
  } catch (const std::exception&) {
    return "";
  }
}

}  // namespace peer
}  // namespace toucandock
