#ifndef LYCHEESTEP_CELL_ACCESS_H
#define LYCHEESTEP_CELL_ACCESS_H

#include <memory>
#include <string>
#include <vector>

#include "lycheestep/event.h"
#include "network_model.h"
#include "timeline.h"
#include "virtual_host.h"

namespace lycheestep {

// What callers and operators can do with a virtual cell.
class CellAccess
{
public:
  CellAccess() = default;
  CellAccess(const CellAccess&) = delete;
  CellAccess& operator=(const CellAccess&) = delete;
  virtual ~CellAccess() = default;

  virtual Timeline& Time() = 0;
  virtual NetworkModel& Network() = 0;
  virtual std::vector<std::unique_ptr<VirtualHost>>& Hosts() = 0;

  // Hands an event to the process that the host runs now, after the delay
  // of a caller's link. It is lost if that process dies before.
  virtual void SendToHost(VirtualHost& aHost, Event aEvent) = 0;

  // Adds a line to the trace.
  virtual void Trace(const std::string& aLine) = 0;
};

} // namespace lycheestep

#endif
