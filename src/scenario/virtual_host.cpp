#include "virtual_host.h"

#include <utility>

namespace lycheestep {

namespace {

constexpr Duration::rep kMillion = 1000000;

} // namespace

TimePoint HostClock::Local(TimePoint aCell) const
{
  const Duration since = aCell.time_since_epoch();
  return aCell + m_offset + since / kMillion * m_skewPpm;
}

TimePoint HostClock::Cell(TimePoint aLocal) const
{
  if (aLocal == TimePoint::max()) {
    return aLocal;
  }
  const Duration since = (aLocal - m_offset).time_since_epoch();
  TimePoint cell = aLocal - m_offset - since / kMillion * m_skewPpm;
  // Rounding must not wake the host before its time.
  while (Local(cell) < aLocal) {
    cell += std::chrono::microseconds(1);
  }
  return cell;
}

VirtualHost::VirtualHost(SchedulerSettings aSettings, HostClock aClock)
  : m_settings(std::move(aSettings))
  , m_clock(aClock)
{
}

void VirtualHost::Start(TimePoint aNow)
{
  Kill();
  ++m_incarnation;
  // Two processes of one host must not draw the same numbers.
  SchedulerSettings settings = m_settings;
  settings.m_seed = m_settings.m_seed + m_incarnation * kMillion;
  m_scheduler = std::make_unique<Scheduler>(settings, m_clock.Local(aNow));
}

void VirtualHost::Kill()
{
  m_scheduler.reset();
  m_paused = false;
  m_stopping = false;
  m_inbox.clear();
  m_outbox.clear();
  ++m_wakeupNumber;
}

Place VirtualHost::At() const
{
  return { m_settings.m_entry.Text(), m_settings.m_dataCentre };
}

} // namespace lycheestep
