#include "target_state.h"

#include <algorithm>

namespace lycheestep {

namespace {

// The most by which a target's clock runs slow, in thousandths.
constexpr std::int64_t kMaxClockDriftPerMille = 20;

// Added to the estimated lease expiry. The margin covers the time between the
// target's reading of its clock and the arrival of the reply at the leader.
constexpr Duration kLeaseExpiryMargin = std::chrono::milliseconds(200);

} // namespace

const char* ToString(TargetPhase aPhase)
{
  switch (aPhase) {
    case TargetPhase::kUntaken:
      return "untaken";
    case TargetPhase::kTaking:
      return "taking";
    case TargetPhase::kHeld:
      return "held";
  }
  return "";
}

TimePoint TargetRun::ExpectedEnd(TimePoint aNow) const
{
  constexpr std::int64_t kWhole = 100;
  const TimePoint started = m_startedAt == TimePoint() ? aNow : m_startedAt;
  if (m_percentDone == 0 || m_percentAt <= started) {
    return std::max(aNow, started + m_estimate);
  }
  const Duration whole = (m_percentAt - started) * kWhole / m_percentDone;
  return std::max(aNow, started + whole);
}

void TargetState::TryOtherAddress()
{
  const bool hasOther =
    !m_answeredAddress.IsNone() && m_answeredAddress != m_record.m_address;
  m_usesAnsweredAddress = hasOther && !m_usesAnsweredAddress;
}

bool TargetState::HasUnlistedStart() const
{
  return std::any_of(m_runs.begin(), m_runs.end(), [](const auto& aRun) {
    return aRun.second.m_sent && !aRun.second.m_isListed;
  });
}

bool TargetState::TakesWork(TimePoint aNow) const
{
  return IsInService() && m_phase == TargetPhase::kHeld &&
         m_holdFailures == 0 && !m_record.m_draining && m_startRetryAt <= aNow;
}

TimePoint TargetState::LeaseExpiry() const
{
  if (!m_clockKnown) {
    return m_formerLeaseExpiry;
  }
  const std::int64_t left =
    std::max<std::int64_t>(0, (m_leaseEnd - m_clock).count());
  const std::int64_t longest =
    left * (1000 + kMaxClockDriftPerMille + 1) / 1000;
  return std::max(m_formerLeaseExpiry,
                  m_clockReadAt + std::chrono::milliseconds(longest) +
                    kLeaseExpiryMargin);
}

TargetTime TargetState::ClockLowerBound(TimePoint aNow) const
{
  const auto passed =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - m_clockReadAt);
  return m_clock + passed * (1000 - kMaxClockDriftPerMille) / 1000;
}

std::string HoldFields(const TargetState& aTarget)
{
  return "fence=" + std::to_string(aTarget.m_fence) +
         " process=" + std::to_string(aTarget.m_record.m_started.count());
}

} // namespace lycheestep
