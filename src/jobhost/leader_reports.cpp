// The part of Leader that logs what it knows, so that its log tells why a run
// went on.
#include <chrono>
#include <string>

#include "cancellation_row.h"
#include "commit_writer.h"
#include "leader.h"
#include "run_totals.h"

namespace lycheestep {

namespace {

// How often a leader logs its state.
constexpr Duration kStateReportPeriod = std::chrono::seconds(5);

std::string Field(const std::string& aName, std::int64_t aValue)
{
  return std::string(" ") + aName + "=" + std::to_string(aValue);
}

std::string Field(const std::string& aName, std::size_t aValue)
{
  return std::string(" ") + aName + "=" + std::to_string(aValue);
}

// Returns -1 if there was no such moment yet.
std::int64_t AgeMilliseconds(TimePoint aMoment, TimePoint aNow)
{
  return aMoment != TimePoint() ? ToMilliseconds(aNow - aMoment) : -1;
}

} // namespace

std::string Leader::RunTotalFields() const
{
  const RunTotals totals = m_scheduler.Targets().CountRuns();
  return Field("targets", totals.m_targets) +
         Field("held", totals.m_heldTargets) + Field("runs", totals.m_runs) +
         Field("to_stop", totals.m_toStop) +
         Field("without_address", totals.m_withoutAddress);
}

void Leader::ReportLoad()
{
  LogUnlimited("leader-loaded",
               "jobs=" + std::to_string(m_jobRows->size()) +
                 Field("progress", m_progressRows->size()) +
                 Field("cancels", m_cancelRows->size()) +
                 Field("addresses", m_addressRows->size()) +
                 Field("after_ms", ToMilliseconds(m_now - m_leadingSince)) +
                 RunTotalFields());
}

void Leader::ReportStateIfDue()
{
  if (m_now < m_stateReportDue) {
    return;
  }
  m_stateReportDue = m_now + kStateReportPeriod;
  const TimePoint cancelsAsOf{ Duration(m_cancelsAsOf) };
  std::string ages;
  for (const auto& watch : m_watches) {
    if (!watch->IsFinished()) {
      ages += Field(watch->Table() + "_answered_ms",
                    AgeMilliseconds(watch->LastAnswer(), m_now));
    }
  }
  LogUnlimited("leader-state",
               std::string("loaded=") + (m_loaded ? "yes" : "no") +
                 Field("since_ms", ToMilliseconds(m_now - m_leadingSince)) +
                 Field("cancels_age_ms", AgeMilliseconds(cancelsAsOf, m_now)) +
                 ages + RunTotalFields());
}

void Leader::ReportCancellation(const Row& aRow, CancellationSource aSource)
{
  const auto cancelledAt = DecodeCancelledAt(aRow.m_value);
  const Duration clock = m_dependencies.m_writer.StoreClock(m_now);
  LogUnlimited(
    "cancellation-read",
    "job=" + aRow.m_key.m_key + Field("row_version", aRow.m_version) + " by=" +
      (aSource == CancellationSource::kFeed ? "feed" : "notice") + " age_ms=" +
      (cancelledAt ? std::to_string(ToMilliseconds(clock - *cancelledAt))
                   : std::string("unknown")));
}

} // namespace lycheestep
