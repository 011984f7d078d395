#ifndef LYCHEESTEP_SCHEDULER_STATE_H
#define LYCHEESTEP_SCHEDULER_STATE_H

#include <cstdint>
#include <memory>

#include "catalogue_keeper.h"
#include "core_context.h"
#include "core_parts.h"
#include "dispatcher.h"
#include "lycheestep/event.h"
#include "open_tickets.h"
#include "operator_flow.h"
#include "overrun_watch.h"
#include "request_answers.h"
#include "request_intake.h"
#include "room_maker.h"
#include "session_keeper.h"
#include "session_watch.h"
#include "stop_flow.h"
#include "task_flow.h"

namespace lycheestep {

// Ties the parts of the core to its flows: hands each event to the parts that
// it concerns, lets every part do what has become due, and places waiting
// work after each event.
class SchedulerState
  : public SessionListener
  , public SessionWatchListener
  , public CatalogueListener
{
public:
  SchedulerState(const SchedulerSettings& aSettings, TimePoint aNow);

  void Handle(const Event& aEvent, TimePoint aNow, ActionList& aActions);
  TimePoint NextWakeup() const;
  bool IsReady() const;

  void OnSessionOpened(CoreContext& aContext, std::uint64_t aEpoch) override;
  void OnSessionLost(CoreContext& aContext, std::uint64_t aEpoch) override;
  void OnSessionEnded(CoreContext& aContext,
                      const EntryId& aEntry,
                      std::uint64_t aEpoch) override;
  void OnCatalogue(CoreContext& aContext,
                   std::shared_ptr<const Catalogue> aCatalogue) override;

private:
  void On(CoreContext& aContext, const RequestSubmitted& aEvent);
  void On(CoreContext& aContext, const ResultRequested& aEvent);
  void On(CoreContext& aContext, const CancelRequested& aEvent);
  void On(CoreContext& aContext, const ExplainRequested& aEvent);
  void On(CoreContext& aContext, const CallerLeft& aEvent);
  void On(CoreContext& aContext, const OperatorAsked& aEvent);
  void On(CoreContext& aContext, const TableAnswered& aEvent);
  void On(CoreContext& aContext, const HostListAnswered& aEvent);
  void On(CoreContext& aContext, const StartAnswered& aEvent);
  void On(CoreContext& aContext, const TaskEnded& aEvent);
  void On(CoreContext& aContext, const TargetReported& aEvent);
  void On(CoreContext& aContext, const AttemptAnswered& aEvent);
  void On(CoreContext& aContext, const PeerMessageReceived& aEvent);
  void On(CoreContext& aContext, const TimePassed& aEvent);
  void On(CoreContext& aContext, const StopRequested& aEvent);

  void Tick(CoreContext& aContext);
  void HandleTimers(CoreContext& aContext);
  void FetchHostListIfDue(CoreContext& aContext);
  void RefreshCapacity(CoreContext& aContext);
  void UpdateOwnLoad(CoreContext& aContext);

  SchedulerSettings m_settings;
  RandomGenerator m_random;
  CoreParts m_parts;
  RequestAnswers m_answers;
  RequestIntake m_intake;
  TaskFlow m_tasks;
  Dispatcher m_dispatcher;
  OperatorFlow m_operators;
  OverrunWatch m_overruns;
  RoomMaker m_roomMaker;
  StopFlow m_stop;
  OpenTickets m_tickets;
  bool m_started = false;
  // More work may be placed without waiting for anything.
  bool m_morePlacements = false;
  // A peer was alive at the last heartbeat.
  bool m_hasPeers = false;
  bool m_fetchingHosts = false;
  TimePoint m_nextHostList;
  TimePoint m_nextCapacity;
  // What this host's shares held at the last look.
  Resources m_capacity;
};

} // namespace lycheestep

#endif
