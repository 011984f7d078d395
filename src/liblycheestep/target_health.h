#ifndef LYCHEESTEP_TARGET_HEALTH_H
#define LYCHEESTEP_TARGET_HEALTH_H

#include <map>
#include <vector>

#include "health_change.h"
#include "lycheestep/id.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Ejects targets that fail what they are given far more often than the
// fleet's median target. Such a target looks idle and fast, so placement would
// feed it. A failure that the whole fleet shares raises the median and ejects
// nobody, and never more than kMaxEjected of the targets are ejected. A target
// of which little is known counts as one that does not fail.
class TargetHealth
{
public:
  // A rate this much above the median ejects.
  static constexpr double kExcessRate = 0.3;
  // Decayed outcomes that a rate is judged on at least.
  static constexpr double kLeastOutcomes = 5.0;
  // Part of the known targets that may be ejected at once; at least one may
  // when there are three or more.
  static constexpr double kMaxEjected = 0.2;
  // The time constant with which outcomes are forgotten.
  static constexpr Duration kMemory = std::chrono::seconds(60);
  // An ejected target is given one task after this time, then after twice
  // that, and so on up to kMaxProbePeriod.
  static constexpr Duration kProbePeriod = std::chrono::seconds(10);
  static constexpr Duration kMaxProbePeriod = std::chrono::minutes(5);
  // Probes in a row that have to succeed before it is taken back.
  static constexpr int kProbesToReturn = 3;

  // Keeps only what is known of these targets and adds the new ones.
  void SetTargets(const std::vector<TargetId>& aTargets);

  // A task was given to the target. True when that was the probe of an
  // ejected target, which is closed again from now on.
  bool Placed(const TargetId& aTarget);

  // What became of a task or of a call at the target.
  void Succeeded(const TargetId& aTarget, TimePoint aNow);
  void Failed(const TargetId& aTarget, TimePoint aNow);

  // Compares all targets and returns which were closed or opened since the
  // last call. Due about once a second and after each Placed or outcome of
  // an ejected target.
  std::vector<HealthChange> Update(TimePoint aNow);

  // True when the target is ejected, whether or not a probe is due.
  bool Ejected(const TargetId& aTarget) const;

private:
  struct State
  {
    double m_failures = 0.0;
    double m_outcomes = 0.0;
    TimePoint m_updated;
    bool m_ejected = false;
    // What Update last told: whether new work is kept away.
    bool m_closed = false;
    bool m_probeSent = false;
    int m_probesSucceeded = 0;
    TimePoint m_nextProbe;
    Duration m_probePeriod = kProbePeriod;

    double Rate() const;
    void Decay(TimePoint aNow);
  };

  void Count(State& aState, bool aSucceeded, TimePoint aNow);
  void CountProbe(State& aState, bool aSucceeded, TimePoint aNow);
  double MedianRate() const;
  void Eject(State& aState, TimePoint aNow);
  void Return(State& aState);

  std::map<TargetId, State> m_states;
};

} // namespace lycheestep

#endif
