#include "control_load.h"

#include <algorithm>
#include <chrono>

namespace lycheestep {

namespace {

constexpr Duration kReportPeriod = std::chrono::seconds(1);

} // namespace

void ControlLoad::Begin(TimePoint aNow)
{
  *this = ControlLoad();
  m_since = aNow;
}

void ControlLoad::Note(TimePoint aBegun, TimePoint aEnded, std::size_t aTasks)
{
  const Duration time = aEnded - aBegun;
  ++m_iterations;
  m_tasks += aTasks;
  m_busy += time;
  m_longest = std::max(m_longest, time);
}

std::optional<std::string> ControlLoad::TakeReport(TimePoint aNow)
{
  const Duration passed = aNow - m_since;
  if (passed < kReportPeriod) {
    return std::nullopt;
  }
  std::string fields =
    "iterations=" + std::to_string(m_iterations) +
    " tasks=" + std::to_string(m_tasks) +
    " busy_percent=" + std::to_string(m_busy * 100 / passed) +
    " longest_ms=" + std::to_string(ToMilliseconds(m_longest));
  Begin(aNow);
  return fields;
}

} // namespace lycheestep
