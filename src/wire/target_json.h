#ifndef LYCHEESTEP_TARGET_JSON_H
#define LYCHEESTEP_TARGET_JSON_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// Asks a target to start a task, and names the entry host to notify of its
// end.
struct StartCall
{
  // The target that the call is for. Another target that now listens at the
  // same address refuses the call.
  TargetId m_target;
  TaskStart m_start;
  // The entry host that polls for the end of the task with EndedPoll. Empty
  // when no host waits for the end.
  EntryId m_notify;
};

// The answer to a StartCall.
struct StartResult
{
  bool m_started = false;
  std::string m_detail;
  bool m_leaving = false;
};

// Asks a target for the ended tasks whose StartCall named m_entry and whose
// sequence number is higher than m_after. The target delays its answer until
// there is such a task, for m_wait at most.
struct EndedPoll
{
  EntryId m_entry;
  std::uint64_t m_after = 0;
  Duration m_wait = Duration::zero();
};

// Asks a target for the state of one attempt, which the call's path names.
struct AttemptQuery
{
  // The target that the call is for, as in StartCall.
  TargetId m_target;
};

// The answer to an EndedPoll. The incarnation changes with each start of the
// target's process, and sequence numbers then start again.
struct EndedTasks
{
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::vector<TaskReport> m_tasks;
};

// These functions encode the targets' calls and answers as JSON text and decode
// them. A Decode function returns nothing when the text is malformed.
std::string EncodeStartCall(const StartCall& aCall);
std::optional<StartCall> DecodeStartCall(const std::string& aText);

std::string EncodeStartResult(const StartResult& aResult);
std::optional<StartResult> DecodeStartResult(const std::string& aText);

std::string EncodeRenewal(const LeaseRenewal& aRenewal);
std::optional<LeaseRenewal> DecodeRenewal(const std::string& aText);

std::string EncodeReport(const TargetReport& aReport);
std::optional<TargetReport> DecodeReport(const std::string& aText);

std::string EncodeTask(const TaskReport& aTask);
std::optional<TaskReport> DecodeTask(const std::string& aText);

std::string EncodeControl(TaskControl aControl);
std::optional<TaskControl> DecodeControl(const std::string& aText);

std::string EncodeAttemptQuery(const AttemptQuery& aQuery);
std::optional<AttemptQuery> DecodeAttemptQuery(const std::string& aText);

std::string EncodeEndedPoll(const EndedPoll& aPoll);
std::optional<EndedPoll> DecodeEndedPoll(const std::string& aText);

std::string EncodeEndedTasks(const EndedTasks& aTasks);
std::optional<EndedTasks> DecodeEndedTasks(const std::string& aText);

} // namespace lycheestep

#endif
