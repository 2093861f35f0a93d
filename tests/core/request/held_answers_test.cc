#include "core/request/held_answers.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <vector>

namespace toucandock::core::request {

// Guards against a host whose memory or descriptors are used up by callers that
// do not take their answers.
TEST_CASE("beyond the limits, the answer that was held longest must give way") {
  const auto held = std::make_shared<HeldAnswers>(
      HeldAnswerLimits{.bytes = 100, .answers = 3});
  std::map<int, HeldAnswers::Hold> holds;
  std::vector<int> given_up;
  const auto add = [&](int name, size_t bytes) {
    holds[name] = held->Add(bytes, [&given_up, &holds, name] {
      given_up.push_back(name);
      holds.erase(name);
    });
  };
  add(1, 40);
  add(2, 40);
  CHECK(given_up.empty());

  SUBCASE("in bytes") {
    add(3, 30);
    CHECK(given_up == std::vector<int>{1});
    CHECK(held->bytes() == 70);
  }
  SUBCASE("in number") {
    add(3, 0);
    add(4, 0);
    CHECK(given_up == std::vector<int>{1});
    CHECK(held->answers() == 3);
  }
  SUBCASE("as many as are needed") {
    add(3, 90);
    CHECK(given_up == std::vector<int>{1, 2});
    CHECK(held->bytes() == 90);
  }
  SUBCASE("also itself, if it alone is above the limit") {
    add(3, 101);
    CHECK(given_up == std::vector<int>{1, 2, 3});
    CHECK(held->bytes() == 0);
    CHECK(held->answers() == 0);
  }
  SUBCASE("none, once answers have been taken") {
    holds.erase(1);
    add(3, 60);
    CHECK(given_up.empty());
    CHECK(held->bytes() == 100);
  }
}

}  // namespace toucandock::core::request
