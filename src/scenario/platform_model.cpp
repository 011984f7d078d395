#include "platform_model.h"

#include <algorithm>

namespace lycheestep {

namespace {

// The table takes about 500 writes and 2,000 reads a second.
constexpr Duration kWriteTime = std::chrono::milliseconds(2);
constexpr Duration kReadTime = std::chrono::microseconds(500);

} // namespace

PlatformModel::PlatformModel(Timeline& aTimeline, Duration aListLag)
  : m_timeline(aTimeline)
  , m_listLag(aListLag)
{
}

TimePoint PlatformModel::TakeWriteTurn()
{
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                        m_timeline.Now().time_since_epoch())
                        .count();
  if (second != m_second) {
    m_second = second;
    m_writesThisSecond = 0;
  }
  ++m_writesThisSecond;
  m_peakWrites = std::max(m_peakWrites, m_writesThisSecond);
  return TakeTurn(m_writesBusyUntil, kWriteTime);
}

TimePoint PlatformModel::TakeReadTurn()
{
  return TakeTurn(m_readsBusyUntil, kReadTime);
}

void PlatformModel::List(const TargetListing& aListing)
{
  m_timeline.After(m_listLag, [this, aListing] { ListNow(aListing); });
}

void PlatformModel::Unlist(const TargetId& aTarget)
{
  m_timeline.After(m_listLag, [this, aTarget] { m_listed.erase(aTarget); });
}

void PlatformModel::ListNow(const TargetListing& aListing)
{
  m_listed[aListing.m_id] = aListing;
}

std::vector<TargetListing> PlatformModel::HostList() const
{
  std::vector<TargetListing> list;
  list.reserve(m_listed.size());
  for (const auto& [id, listing] : m_listed) {
    list.push_back(listing);
  }
  return list;
}

TimePoint PlatformModel::TakeTurn(TimePoint& aBusyUntil, Duration aServiceTime)
{
  aBusyUntil = std::max(aBusyUntil, m_timeline.Now()) + aServiceTime;
  return aBusyUntil + m_faults.m_delay;
}

} // namespace lycheestep
