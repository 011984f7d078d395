#ifndef LYCHEESTEP_WORK_SWITCHES_H
#define LYCHEESTEP_WORK_SWITCHES_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/table.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class TableCalls;

// What operators last asked for a kind of work.
struct WorkSwitch
{
  // No new task of the kind starts.
  bool m_stopped = false;
  // Running tasks are stopped gracefully as well.
  bool m_draining = false;
  // For a service that is to run: the id of its request.
  RequestId m_serviceRequest;
};

// Told when the switch of a kind changed.
class WorkSwitchListener
{
public:
  virtual ~WorkSwitchListener() = default;
  virtual void OnSwitchChanged(CoreContext& aContext,
                               const KindName& aKind,
                               const WorkSwitch& aSwitch) = 0;
};

// The rows work/<kind>, which say whether operators have stopped or drained a
// kind. One prefix read each m_cataloguePeriod, at every host; kinds that were
// never stopped have no row.
class WorkSwitches
{
public:
  explicit WorkSwitches(TableCalls& aTable);

  void SetListener(WorkSwitchListener* aListener) { m_listener = aListener; }

  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const { return m_nextRead; }

  // Reads as soon as possible.
  void Refresh() { m_nextRead = TimePoint{}; }

  // The switch of the kind as last read.
  WorkSwitch Get(const KindName& aKind) const;

  // The key of a kind's row.
  static std::string KeyOf(const KindName& aKind);

private:
  void HandleRead(CoreContext& aContext, const TableAnswer& aAnswer);

  TableCalls& m_table;
  WorkSwitchListener* m_listener = nullptr;
  std::map<KindName, WorkSwitch> m_switches;
  bool m_reading = false;
  TimePoint m_nextRead;
};

} // namespace lycheestep

#endif
