#ifndef LYCHEESTEP_LOCAL_TARGETS_H
#define LYCHEESTEP_LOCAL_TARGETS_H

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "lycheestep/event.h"
#include "lycheestep/service.h"
#include "lycheestep/target_client.h"
#include "target_model.h"

namespace lycheestep {

class EventSink;

// Targets in the memory of the process, for trying the system on one machine.
// One thread takes the calls and lets tasks end.
class LocalTargets
  : public Service
  , public TargetClient
{
public:
  // What a task does.
  using Work = std::function<TaskBehaviour(const TaskStart&)>;

  LocalTargets(const std::vector<TargetListing>& aListings, Work aWork);
  ~LocalTargets() override;

  std::string Name() const override { return "targets"; }
  std::error_code Start(Kernel& aKernel) override;
  void Stop() override;

  void StartOn(StartTask aCall) override;
  void Renew(RenewLeases aCall) override;
  void Control(ControlTask aCall) override;
  void Query(QueryAttempt aCall) override;

private:
  using Job = std::function<void(TimePoint)>;

  void Add(Job aJob);
  void Run();
  void DoStart(const StartTask& aCall, TimePoint aNow);
  void DoRenew(const RenewLeases& aCall, TimePoint aNow);
  void DoQuery(const QueryAttempt& aCall, TimePoint aNow);
  void PostEnds(TimePoint aNow);
  TimePoint NextEnd() const;

  const Work m_work;
  EventSink* m_events = nullptr;
  // Used by the thread only.
  CheckpointStore m_checkpoints;
  std::map<TargetId, TargetModel> m_targets;
  std::set<AttemptId> m_waitedFor;
  // Shared with the callers.
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<Job> m_jobs;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace lycheestep

#endif
