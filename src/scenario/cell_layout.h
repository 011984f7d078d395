#ifndef LYCHEESTEP_CELL_LAYOUT_H
#define LYCHEESTEP_CELL_LAYOUT_H

#include <memory>
#include <vector>

#include "lycheestep/catalogue.h"
#include "lycheestep/scheduler_settings.h"
#include "lycheestep/target_protocol.h"
#include "network_model.h"

namespace lycheestep {

// What a virtual cell is made of.
struct CellLayout
{
  std::uint64_t m_seed = 1;
  std::shared_ptr<const Catalogue> m_catalogue;
  NetworkSettings m_network;
  // One for each entry host; peers are filled in by the cell.
  std::vector<SchedulerSettings> m_hosts;
  std::vector<TargetListing> m_targets;
  // A change of a target shows in the platform's list this much later.
  Duration m_listLag = std::chrono::seconds(1);
  // A task's usage shows in reports this much later.
  Duration m_usageLag = std::chrono::seconds(2);
  // Hosts' clocks run fast or slow by up to this much.
  int m_clockSkewPpm = 100;
  // Callers of durable work ask again this often.
  Duration m_askPeriod = std::chrono::seconds(2);
  // Count the bytes of all calls as they go over the wire; takes time.
  bool m_countBytes = false;
};

} // namespace lycheestep

#endif
