#ifndef LYCHEESTEP_USAGE_ESTIMATOR_H
#define LYCHEESTEP_USAGE_ESTIMATOR_H

#include <array>
#include <cstddef>
#include <map>

#include "lycheestep/id.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/work_kind.h"
#include "usage_estimate.h"

namespace lycheestep {

// Learns from the targets' lagging reports what the tasks of each kind really
// take. Keeps, for each kind and quantity, a histogram of the ratio of real to
// declared; old tasks fade from it. An estimate is the kQuantile of it.
class UsageEstimator
{
public:
  static constexpr double kQuantile = 0.9;
  // Weight of a task relative to the one that ended after it.
  static constexpr double kFading = 0.98;
  // Tasks before the estimate differs from the declaration.
  static constexpr int kLeastTasks = 10;
  // Over its declared memory by this factor, a task is stopped; over its
  // processors by it, throttled.
  static constexpr double kOverrun = 1.25;

  // A task ended: aReport has its last usage and its run time.
  void TaskEnded(const WorkKind& aKind, const TaskReport& aReport);

  // Drops what is known of a kind.
  void Forget(const KindName& aKind);

  // The estimate for a kind. The demand is never below the declaration, since
  // a target without slack has nothing to give when a task uses all that it
  // declared, and never above aMost, the largest target.
  UsageEstimate Estimate(const WorkKind& aKind, const Resources& aMost) const;

  // What to do with a running task. aPromised: a customer with a promise
  // depends on the kind, so the scheduler may not slow it down by itself.
  static OverrunVerdict Judge(const WorkKind& aKind,
                              const TaskReport& aReport,
                              bool aPromised);

private:
  // A histogram of ratios between 1/16 and 16 on a logarithmic scale.
  class Ratios
  {
  public:
    void Add(double aRatio, double aWeight);
    void Scale(double aFactor);
    double Quantile() const;

  private:
    static constexpr std::size_t kBuckets = 65;
    std::array<double, kBuckets> m_weights{};
  };

  struct Kind
  {
    Ratios m_processors;
    Ratios m_memory;
    Ratios m_runTime;
    int m_tasks = 0;
    // Grows with each task, which fades the earlier ones.
    double m_weight = 1.0;
  };

  std::map<KindName, Kind> m_kinds;
};

} // namespace lycheestep

#endif
