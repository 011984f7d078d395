#ifndef LYCHEESTEP_CORE_PARTS_H
#define LYCHEESTEP_CORE_PARTS_H

#include "admission_queue.h"
#include "catalogue_keeper.h"
#include "fleet.h"
#include "grant_book.h"
#include "lease_keeper.h"
#include "lycheestep/scheduler_settings.h"
#include "peer_directory.h"
#include "placer.h"
#include "record_keeper.h"
#include "request_book.h"
#include "session_keeper.h"
#include "session_watch.h"
#include "table_calls.h"
#include "target_health.h"
#include "work_switches.h"

namespace lycheestep {

// How far a graceful stop has come.
enum class StopStage
{
  kNone,
  kAccepting, // not ready any more; takes what was on its way here
  kFinishing, // sends new work to peers, finishes what callers wait for
  kLeaving,   // starts nothing; releases its shares and closes its session
};

// The parts of the decision core that the flows of requests and operator
// commands work with. Each part stands for itself; the flows are what ties
// them together.
struct CoreParts
{
  explicit CoreParts(const SchedulerSettings& aSettings);

  TableCalls m_table;
  Fleet m_fleet;
  PeerDirectory m_peers;
  SessionKeeper m_session;
  SessionWatch m_watch;
  LeaseKeeper m_leases;
  GrantBook m_grants;
  RecordKeeper m_records;
  CatalogueKeeper m_catalogue;
  WorkSwitches m_switches;
  AdmissionQueue m_queue;
  Placer m_placer;
  TargetHealth m_health;
  RequestBook m_requests;
  StopStage m_stop = StopStage::kNone;
};

} // namespace lycheestep

#endif
