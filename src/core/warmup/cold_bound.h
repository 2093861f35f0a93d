#ifndef TOUCANDOCK_CORE_WARMUP_COLD_BOUND_H_
#define TOUCANDOCK_CORE_WARMUP_COLD_BOUND_H_

namespace toucandock::core::warmup {

// In any one second, a cold target may receive `overage` times its rate plus
// `tolerance` requests, from all hosts together.
struct ColdBound {
  double overage = 1.5;
  double tolerance = 8;

  bool operator==(const ColdBound&) const = default;
};

}  // namespace toucandock::core::warmup

#endif  // TOUCANDOCK_CORE_WARMUP_COLD_BOUND_H_
