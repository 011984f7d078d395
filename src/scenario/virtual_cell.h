#ifndef LYCHEESTEP_VIRTUAL_CELL_H
#define LYCHEESTEP_VIRTUAL_CELL_H

#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "caller_model.h"
#include "cell_access.h"
#include "cell_layout.h"
#include "network_model.h"
#include "operator_model.h"
#include "platform_model.h"
#include "target_model.h"
#include "timeline.h"
#include "virtual_host.h"
#include "work_model.h"

namespace lycheestep {

// The real decision core of many entry hosts on virtual time, between models
// of the platform, the targets, the callers and the operators. The same
// layout and the same calls always give the same course of events.
class VirtualCell : public CellAccess
{
public:
  // aTrace may be null. The cell starts with all hosts and targets up, and
  // with an operator who applies the first catalogue.
  VirtualCell(CellLayout aLayout, std::ostream* aTrace);
  ~VirtualCell() override;

  Timeline& Time() override { return m_timeline; }
  NetworkModel& Network() override { return m_network; }
  std::vector<std::unique_ptr<VirtualHost>>& Hosts() override
  {
    return m_hosts;
  }
  void SendToHost(VirtualHost& aHost, Event aEvent) override;
  void Trace(const std::string& aLine) override;

  // The beginning of the cell's time.
  static TimePoint Beginning();
  // Time since the beginning.
  Duration Elapsed() const { return m_timeline.Now() - Beginning(); }
  // Runs to this time since the beginning.
  void RunUntil(Duration aElapsed);

  VirtualHost* FindHost(const std::string& aName);
  TargetModel* FindTarget(const std::string& aName);

  void KillHost(VirtualHost& aHost);
  void StartHost(VirtualHost& aHost);
  void PauseHost(VirtualHost& aHost);
  void ResumeHost(VirtualHost& aHost);
  // A planned, graceful stop.
  void StopHost(VirtualHost& aHost);

  void KillTarget(TargetModel& aTarget);
  void RestartTarget(TargetModel& aTarget);
  // Leaving by the list, and by the target's own word as well.
  void LeaveTarget(TargetModel& aTarget, bool aByOwnWord);

  PlatformModel& Platform() { return m_platform; }
  const PlatformModel& Platform() const { return m_platform; }
  CallerModel& Callers() { return m_callers; }
  const CallerModel& Callers() const { return m_callers; }
  OperatorModel& Operators() { return m_operators; }
  const OperatorModel& Operators() const { return m_operators; }
  WorkModel& Work() { return m_work; }
  const CellLayout& Layout() const { return m_layout; }
  const std::map<TargetId, std::unique_ptr<TargetModel>>& Targets() const
  {
    return m_targets;
  }

  // The host whose process sent the start of each attempt.
  const std::map<AttemptId, EntryId>& Starters() const { return m_starters; }

  // One sentence for each planned stop that cut something off.
  const std::vector<std::string>& CutByStops() const { return m_cutByStops; }

  // Moments at which a host did not run or did not reach a platform that
  // works.
  const std::map<EntryId, std::vector<TimePoint>>& Unreached() const
  {
    return m_unreached;
  }

private:
  struct Call;
  struct Subscriber;

  void AddHosts();
  void SampleReach();
  void AddTargets();
  void Deliver(VirtualHost& aHost,
               std::uint64_t aIncarnation,
               const Event& aEvent);
  void DeliverAt(TimePoint aWhen,
                 VirtualHost& aHost,
                 std::uint64_t aIncarnation,
                 Event aEvent);
  void Handle(VirtualHost& aHost, const Event& aEvent);
  void ArmWakeup(VirtualHost& aHost);
  void Send(VirtualHost& aHost, const Action& aAction);

  void Perform(VirtualHost& aHost, const AnswerCaller& aAction);
  void Perform(VirtualHost& aHost, const AnswerExplain& aAction);
  void Perform(VirtualHost& aHost, const AnswerOperator& aAction);
  void Perform(VirtualHost& aHost, const TransactTable& aAction);
  void Perform(VirtualHost& aHost, const ReadTable& aAction);
  void Perform(VirtualHost& aHost, const FetchHostList& aAction);
  void Perform(VirtualHost& aHost, const StartTask& aAction);
  void Perform(VirtualHost& aHost, const RenewLeases& aAction);
  void Perform(VirtualHost& aHost, const ControlTask& aAction);
  void Perform(VirtualHost& aHost, const QueryAttempt& aAction);
  void Perform(VirtualHost& aHost, const SendPeerMessage& aAction);
  void Perform(VirtualHost& aHost, const LogDecision& aAction);
  void Perform(VirtualHost& aHost, const LogNote& aAction);
  void Perform(VirtualHost& aHost, const StopCompleted& aAction);

  std::shared_ptr<Call> OpenCall(VirtualHost& aHost, Event aTimeoutEvent);
  void Answer(const std::shared_ptr<Call>& aCall, const Event& aEvent);
  void AnswerAfter(const std::shared_ptr<Call>& aCall,
                   const Place& aFrom,
                   Event aEvent);
  void CallTable(VirtualHost& aHost,
                 TableTicket aTicket,
                 bool aWrite,
                 std::function<TableAnswer()> aEffect);
  void ArmTarget(TargetModel& aTarget);
  void PushEnds(TargetModel& aTarget);
  static Place PlaceOf(const TargetModel& aTarget);
  std::string Name(const VirtualHost& aHost) const;

  CellLayout m_layout;
  std::ostream* m_trace;
  Timeline m_timeline;
  NetworkModel m_network;
  std::mt19937_64 m_random;
  PlatformModel m_platform;
  CheckpointStore m_checkpoints;
  WorkModel m_work;
  std::vector<std::unique_ptr<VirtualHost>> m_hosts;
  std::map<std::string, VirtualHost*> m_hostByAddress;
  std::map<TargetId, std::unique_ptr<TargetModel>> m_targets;
  std::map<TargetId, TimePoint> m_armed;
  std::map<AttemptId, Subscriber> m_subscribers;
  std::map<AttemptId, EntryId> m_starters;
  std::vector<std::string> m_cutByStops;
  std::map<EntryId, std::vector<TimePoint>> m_unreached;
  CallerModel m_callers;
  OperatorModel m_operators;
};

} // namespace lycheestep

#endif
