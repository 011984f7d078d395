#ifndef LYCHEESTEP_PLATFORM_MODEL_H
#define LYCHEESTEP_PLATFORM_MODEL_H

#include <cstdint>
#include <map>
#include <vector>

#include "lycheestep/target_protocol.h"
#include "table_model.h"
#include "timeline.h"

namespace lycheestep {

// The platform in memory: the table with its faults and its limited rate, and
// the list of targets, which lags behind.
class PlatformModel
{
public:
  // aListLag: a change of a target shows in the list this much later.
  PlatformModel(Timeline& aTimeline, Duration aListLag);

  TableModel& Table() { return m_table; }
  const TableModel& Table() const { return m_table; }
  TableFaults& Faults() { return m_faults; }

  // The moment at which a call that arrives now takes effect: calls wait for
  // each other at the table's rate.
  TimePoint TakeWriteTurn();
  TimePoint TakeReadTurn();

  // Shows a target, or hides it, once the lag has passed.
  void List(const TargetListing& aListing);
  void Unlist(const TargetId& aTarget);
  // Shows a target at once: for those that were there before the start.
  void ListNow(const TargetListing& aListing);

  std::vector<TargetListing> HostList() const;

  // Most transactions that arrived in one second of virtual time.
  std::uint64_t PeakWritesPerSecond() const { return m_peakWrites; }

private:
  TimePoint TakeTurn(TimePoint& aBusyUntil, Duration aServiceTime);

  Timeline& m_timeline;
  Duration m_listLag;
  TableModel m_table;
  TableFaults m_faults;
  std::map<TargetId, TargetListing> m_listed;
  TimePoint m_writesBusyUntil;
  TimePoint m_readsBusyUntil;
  std::int64_t m_second = 0;
  std::uint64_t m_writesThisSecond = 0;
  std::uint64_t m_peakWrites = 0;
};

} // namespace lycheestep

#endif
