#include "peer/json_rpc.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"

namespace toucandock::peer {

TEST_CASE("a damaged call of a peer must be refused without being run") {
  int calls = 0;
  JsonRpcServer server({{"renew", [&](const std::string& params) {
                           ++calls;
                           return params == "{}" ? std::string()
                                                 : std::string("{\"n\":1}");
                         }}});

  SUBCASE("a good call is run once") {
    const std::string answer = server.Handle(
        R"({"jsonrpc":"2.0","id":1,"method":"renew","params":{"a":1}})");
    CHECK(absl::StrContains(answer, R"("result":{"n":1})"));
    CHECK(calls == 1);
  }
  SUBCASE("the method refuses its parameters") {
    const std::string answer = server.Handle(
        R"({"jsonrpc":"2.0","id":1,"method":"renew","params":{}})");
    CHECK(absl::StrContains(answer, R"("code":-32602)"));
  }
  SUBCASE("calls that must not reach the method") {
    struct Case {
      const char* what;
      std::string request;
      // Error code in the reply; empty when no reply is sent.
      const char* code;
    };
    const std::vector<Case> cases = {
        {"empty", "", "-32700"},
        {"cut", R"({"jsonrpc":"2.0","id":1,"meth)", "-32700"},
        {"not an object", "7", "-32600"},
        {"unknown method",
         R"({"jsonrpc":"2.0","id":1,"method":"crown","params":{}})", "-32601"},
        {"wrong version",
         R"({"jsonrpc":"1.0","id":1,"method":"renew","params":{"a":1}})",
         "-32600"},
        {"no version", R"({"id":1,"method":"renew","params":{"a":1}})",
         "-32600"},
        {"no method", R"({"jsonrpc":"2.0","id":1,"params":{}})", "-32600"},
        {"method of a wrong type",
         R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})", "-32600"},
        {"parameters of a wrong type",
         R"({"jsonrpc":"2.0","id":1,"method":"renew","params":"a"})", "-32600"},
        {"an empty batch", "[]", "-32600"},
        {"a deep list", std::string(5'000, '['), ""},
    };
    for (const Case& it : cases) {
      CAPTURE(it.what);
      const std::string answer = server.Handle(it.request);
      CAPTURE(answer);
      if (std::string(it.code).empty()) {
        CHECK(answer.empty());
      } else {
        CHECK(absl::StrContains(answer, it.code));
      }
      CHECK(calls == 0);
    }
  }
  SUBCASE("a batch is answered call by call") {
    const std::string answer = server.Handle(
        R"([{"jsonrpc":"2.0","id":1,"method":"renew","params":{"a":1}},)"
        R"({"jsonrpc":"2.0","id":2,"method":"crown","params":{}}])");
    CHECK(absl::StrContains(answer, R"("result":{"n":1})"));
    CHECK(absl::StrContains(answer, "-32601"));
    CHECK(calls == 1);
  }
}

TEST_CASE("a damaged reply of a peer must count as no reply") {
  std::string sent;
  const auto call = [&](const std::string& answer) {
    return CallMethod(
        [&](const std::string& request) {
          sent = request;
          return answer;
        },
        "renew", "{\"a\":1}");
  };
  CHECK(call(R"({"jsonrpc":"2.0","id":1,"result":{"n":1}})") == R"({"n":1})");
  CHECK(absl::StrContains(sent, "renew"));
  for (const char* answer :
       {"", "nonsense", "[]", "7", R"({"jsonrpc":"2.0","id":1,"res)",
        R"({"jsonrpc":"2.0","id":1})", R"({"id":1,"result":{"n":1}})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":-32602,"message":"no"}})",
        R"({"jsonrpc":"2.0","id":1,"error":7})"}) {
    CAPTURE(answer);
    CHECK(call(answer).empty());
  }
}

}  // namespace toucandock::peer
