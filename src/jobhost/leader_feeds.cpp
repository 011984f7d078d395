// The part of Leader that starts no task while a feed which could forbid it is
// old.
#include <algorithm>
#include <chrono>

#include "leader.h"

namespace lycheestep {

namespace {

// Tasks are started only if all cancellations up to this long ago are known. A
// task must not start more than 3 s after its cancellation was acknowledged,
// which leaves the rest for the way to the target. An idle feed is up to two
// waits old.
constexpr Duration kMaxCancelAge = std::chrono::milliseconds(2700);

// Tasks are started only if all changes of the list of targets up to this long
// ago are known. A target must get no new work 2 s after it wrote that it
// drains.
constexpr Duration kMaxTargetListAge = std::chrono::milliseconds(1700);

} // namespace

void Leader::CheckFeeds()
{
  const bool current = m_loaded && m_now < StartsValidUntil();
  m_scheduler.SetMayStart(current);
  const bool known = m_loaded && m_cancelsAsOf != 0 && m_targetsAsOf != 0;
  if (known && current == m_startsSuspended) {
    m_startsSuspended = !current;
    const bool byCancels = CancelsValidUntil() < TargetsValidUntil();
    LogUnlimited(current ? "starts-resumed" : "starts-suspended",
                 byCancels ? "reason=cancellations" : "reason=targets");
  }
}

void Leader::OnCancelsCurrent(TimePoint aAsOf)
{
  m_cancelsAsOf = aAsOf.time_since_epoch().count();
}

void Leader::OnTargetsCurrent(TimePoint aAsOf)
{
  m_targetsAsOf = aAsOf.time_since_epoch().count();
}

TimePoint Leader::CancelsValidUntil() const
{
  return TimePoint(Duration(m_cancelsAsOf)) + kMaxCancelAge;
}

TimePoint Leader::TargetsValidUntil() const
{
  return TimePoint(Duration(m_targetsAsOf)) + kMaxTargetListAge;
}

TimePoint Leader::StartsValidUntil() const
{
  return std::min(CancelsValidUntil(), TargetsValidUntil());
}

} // namespace lycheestep
