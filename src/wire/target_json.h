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

// A TaskStart and the entry host that wants to hear of the end.
struct StartCall
{
  // The target that is meant: another one at the same address refuses.
  TargetId m_target;
  TaskStart m_start;
  // Empty when the end is not waited for.
  EntryId m_notify;
};

// The answer to a StartCall.
struct StartResult
{
  bool m_started = false;
  std::string m_detail;
  bool m_leaving = false;
};

// Asks for the ends of tasks that name this entry host, newer than a
// sequence number. The answer is held back until there are some.
struct EndedPoll
{
  EntryId m_entry;
  std::uint64_t m_after = 0;
  Duration m_wait = Duration::zero();
};

// Asks what is known of one attempt.
struct AttemptQuery
{
  // As in StartCall.
  TargetId m_target;
};

// The answer to an EndedPoll. The incarnation differs after each start of the
// target; sequence numbers begin anew with it.
struct EndedTasks
{
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::vector<TaskReport> m_tasks;
};

// The targets' calls as JSON text. A Decode function returns nothing when the
// text is malformed.
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
