#ifndef LYCHEESTEP_WORK_KIND_H
#define LYCHEESTEP_WORK_KIND_H

#include <cstddef>
#include <string>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// How soon work has to start. A lower value goes first.
enum class WorkClass : std::size_t
{
  kUrgent,
  kStandard,
  kBatch,
};

// Number of values of WorkClass.
constexpr std::size_t kWorkClasses = 3;

// What a kind of work looks like to the scheduler.
enum class WorkForm
{
  kRequest, // one task whose answer the caller waits for
  kJob,     // one task that runs for long; the answer is fetched later
  kGang,    // m_tasks tasks that start and stop together
  kService, // m_tasks replicas that are kept running until stopped
};

// The names that the catalogue uses.
const char* ToString(WorkClass aClass);
const char* ToString(WorkForm aForm);

// One kind of work in the catalogue.
struct WorkKind
{
  KindName m_name;
  // The person who answers for this kind; told of jobs that can never run.
  std::string m_owner;
  TeamName m_team;
  WorkClass m_class = WorkClass::kStandard;
  WorkForm m_form = WorkForm::kRequest;
  // What one task takes of its target, as declared.
  Resources m_demand;
  // Tasks of a gang, replicas of a service; 1 for the other forms.
  int m_tasks = 1;
  // False when running twice does harm: such a request runs at most once.
  bool m_repeatable = true;
  // True when the request is written to the table before it is acknowledged.
  // Jobs, gangs, services and anything not repeatable are recorded always.
  bool m_durable = false;
  // True when a checkpoint lets the task be stopped and resumed later, so
  // that more urgent work may take its place.
  bool m_checkpointable = false;
  // Time from arrival within which the task has to start.
  Duration m_deadline = std::chrono::seconds(10);
  // Expected time from start to end, as declared.
  Duration m_runTime = std::chrono::seconds(1);
  // Time from start after which a task is stopped; zero means no limit.
  Duration m_runTimeLimit = Duration::zero();
  // Requests of this kind that may wait at one entry host.
  std::size_t m_queueLimit = 1000;
  // Tasks of this kind that may run at once in the cell; zero: no limit.
  int m_runningLimit = 0;
};

} // namespace lycheestep

#endif
