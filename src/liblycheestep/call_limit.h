#ifndef LYCHEESTEP_CALL_LIMIT_H
#define LYCHEESTEP_CALL_LIMIT_H

#include "lycheestep/time_types.h"

namespace lycheestep {

// How many calls this host may have in flight to one target. The limit grows
// while the target answers about as fast as it can and shrinks as its answers
// get slower, so that a slow target is given less before calls time out. It
// only narrows the connections that this host holds by its grant.
class CallLimit
{
public:
  static constexpr double kLeast = 1.0;
  static constexpr double kFirst = 8.0;
  // A target may answer this many times slower than its best before the
  // limit shrinks.
  static constexpr double kTolerance = 2.0;
  // Latencies below this are all taken as fast.
  static constexpr Duration kFast = std::chrono::milliseconds(5);

  // aMost: the limit never grows beyond it.
  explicit CallLimit(double aMost = 64.0);

  // A call was sent.
  void Sent();

  // A call was answered after aLatency. The time that a task ran is no part
  // of it.
  void Answered(Duration aLatency);

  // A call got no answer.
  void Lost();

  // True when no further call may be sent now.
  bool AtLimit() const;

  // The limit and the calls in flight.
  int Limit() const { return static_cast<int>(m_limit); }
  int InFlight() const { return m_inFlight; }

private:
  double m_most;
  double m_limit = kFirst;
  int m_inFlight = 0;
  // The best latency seen lately; drifts up slowly, so that a target that
  // became slower for good is judged anew.
  Duration m_best = Duration::max();
};

} // namespace lycheestep

#endif
