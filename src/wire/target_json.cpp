#include "target_json.h"

#include "json_codec.h"

namespace lycheestep {

namespace {

using Json = nlohmann::json;

// The names of AttemptState and TaskControl, in the order of their values.
constexpr const char* kStateNames[] = { "never_started", "running", "ended" };
constexpr const char* kControlNames[] = { "stop", "checkpoint", "throttle" };

// Returns the index in aNames of the name that aJson holds. Throws a
// nlohmann::json exception when aNames lacks the name, so that ParseJson
// returns nothing.
template<std::size_t N>
std::size_t IndexOf(const char* const (&aNames)[N], const Json& aJson)
{
  const auto name = aJson.get<std::string>();
  for (std::size_t i = 0; i < N; ++i) {
    if (name == aNames[i]) {
      return i;
    }
  }
  throw Json::type_error::create(302, "unknown name", &aJson);
}

Json AttemptsToJson(const std::vector<AttemptId>& aAttempts)
{
  Json json = Json::array();
  for (const AttemptId& attempt : aAttempts) {
    json.push_back(attempt.Text());
  }
  return json;
}

std::vector<AttemptId> AttemptsFromJson(const Json& aJson)
{
  std::vector<AttemptId> attempts;
  for (const Json& attempt : aJson) {
    attempts.emplace_back(attempt.get<std::string>());
  }
  return attempts;
}

Json TaskToJson(const TaskReport& aTask)
{
  return { { "attempt", aTask.m_attempt.Text() },
           { "request", aTask.m_request.Text() },
           { "kind", aTask.m_kind.Text() },
           { "state", kStateNames[static_cast<std::size_t>(aTask.m_state)] },
           { "demand", ResourcesToJson(aTask.m_demand) },
           { "usage", ResourcesToJson(aTask.m_usage) },
           { "ran_for_us", ToMicroseconds(aTask.m_ranFor) },
           { "lease_left_us", ToMicroseconds(aTask.m_leaseLeft) },
           { "succeeded", aTask.m_succeeded },
           { "stopped", aTask.m_stopped },
           { "target_up_for_us", ToMicroseconds(aTask.m_targetUpFor) },
           { "body", aTask.m_body } };
}

TaskReport TaskFromJson(const Json& aJson)
{
  TaskReport task;
  task.m_attempt = AttemptId(aJson.at("attempt").get<std::string>());
  task.m_request = RequestId(aJson.at("request").get<std::string>());
  task.m_kind = KindName(aJson.at("kind").get<std::string>());
  task.m_state =
    static_cast<AttemptState>(IndexOf(kStateNames, aJson.at("state")));
  task.m_demand = ResourcesFromJson(aJson.at("demand"));
  task.m_usage = ResourcesFromJson(aJson.at("usage"));
  task.m_ranFor = FromMicroseconds(aJson.at("ran_for_us"));
  task.m_leaseLeft = FromMicroseconds(aJson.at("lease_left_us"));
  task.m_succeeded = aJson.at("succeeded").get<bool>();
  task.m_stopped = aJson.at("stopped").get<bool>();
  task.m_targetUpFor = FromMicroseconds(aJson.at("target_up_for_us"));
  task.m_body = aJson.at("body").get<std::string>();
  return task;
}

Json TasksToJson(const std::vector<TaskReport>& aTasks)
{
  Json json = Json::array();
  for (const TaskReport& task : aTasks) {
    json.push_back(TaskToJson(task));
  }
  return json;
}

std::vector<TaskReport> TasksFromJson(const Json& aJson)
{
  std::vector<TaskReport> tasks;
  for (const Json& task : aJson) {
    tasks.push_back(TaskFromJson(task));
  }
  return tasks;
}

StartCall StartCallFromJson(const Json& aJson)
{
  StartCall call;
  call.m_target = TargetId(aJson.at("target").get<std::string>());
  TaskStart& start = call.m_start;
  start.m_attempt = AttemptId(aJson.at("attempt").get<std::string>());
  start.m_request = RequestId(aJson.at("request").get<std::string>());
  start.m_kind = KindName(aJson.at("kind").get<std::string>());
  start.m_demand = ResourcesFromJson(aJson.at("demand"));
  start.m_leaseTerm = FromMicroseconds(aJson.at("lease_term_us"));
  start.m_resume = aJson.at("resume").get<bool>();
  start.m_body = aJson.at("body").get<std::string>();
  call.m_notify = EntryId(aJson.at("notify").get<std::string>());
  start.m_waitForEnd = !call.m_notify.Empty();
  return call;
}

} // namespace

std::string EncodeStartCall(const StartCall& aCall)
{
  const TaskStart& start = aCall.m_start;
  return DumpJson({ { "target", aCall.m_target.Text() },
                    { "attempt", start.m_attempt.Text() },
                    { "request", start.m_request.Text() },
                    { "kind", start.m_kind.Text() },
                    { "demand", ResourcesToJson(start.m_demand) },
                    { "lease_term_us", ToMicroseconds(start.m_leaseTerm) },
                    { "resume", start.m_resume },
                    { "body", start.m_body },
                    { "notify", aCall.m_notify.Text() } });
}

std::optional<StartCall> DecodeStartCall(const std::string& aText)
{
  return ParseJson(aText, StartCallFromJson);
}

std::string EncodeStartResult(const StartResult& aResult)
{
  return DumpJson({ { "started", aResult.m_started },
                    { "detail", aResult.m_detail },
                    { "leaving", aResult.m_leaving } });
}

std::optional<StartResult> DecodeStartResult(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    StartResult result;
    result.m_started = aJson.at("started").get<bool>();
    result.m_detail = aJson.at("detail").get<std::string>();
    result.m_leaving = aJson.at("leaving").get<bool>();
    return result;
  });
}

std::string EncodeRenewal(const LeaseRenewal& aRenewal)
{
  return DumpJson({ { "lease_term_us", ToMicroseconds(aRenewal.m_leaseTerm) },
                    { "renew", AttemptsToJson(aRenewal.m_renew) },
                    { "forget", AttemptsToJson(aRenewal.m_forget) } });
}

std::optional<LeaseRenewal> DecodeRenewal(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    LeaseRenewal renewal;
    renewal.m_leaseTerm = FromMicroseconds(aJson.at("lease_term_us"));
    renewal.m_renew = AttemptsFromJson(aJson.at("renew"));
    renewal.m_forget = AttemptsFromJson(aJson.at("forget"));
    return renewal;
  });
}

std::string EncodeReport(const TargetReport& aReport)
{
  return DumpJson({ { "target", aReport.m_target.Text() },
                    { "leaving", aReport.m_leaving },
                    { "capacity", ResourcesToJson(aReport.m_capacity) },
                    { "tasks", TasksToJson(aReport.m_tasks) } });
}

std::optional<TargetReport> DecodeReport(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    TargetReport report;
    report.m_target = TargetId(aJson.at("target").get<std::string>());
    report.m_reached = true;
    report.m_leaving = aJson.at("leaving").get<bool>();
    report.m_capacity = ResourcesFromJson(aJson.at("capacity"));
    report.m_tasks = TasksFromJson(aJson.at("tasks"));
    return report;
  });
}

std::string EncodeTask(const TaskReport& aTask)
{
  return DumpJson(TaskToJson(aTask));
}

std::optional<TaskReport> DecodeTask(const std::string& aText)
{
  return ParseJson(aText, TaskFromJson);
}

std::string EncodeControl(TaskControl aControl)
{
  const char* name = kControlNames[static_cast<std::size_t>(aControl)];
  return DumpJson({ { "control", name } });
}

std::optional<TaskControl> DecodeControl(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    return static_cast<TaskControl>(
      IndexOf(kControlNames, aJson.at("control")));
  });
}

std::string EncodeAttemptQuery(const AttemptQuery& aQuery)
{
  return DumpJson({ { "target", aQuery.m_target.Text() } });
}

std::optional<AttemptQuery> DecodeAttemptQuery(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    AttemptQuery query;
    query.m_target = TargetId(aJson.at("target").get<std::string>());
    return query;
  });
}

std::string EncodeEndedPoll(const EndedPoll& aPoll)
{
  return DumpJson({ { "entry", aPoll.m_entry.Text() },
                    { "after", aPoll.m_after },
                    { "wait_us", ToMicroseconds(aPoll.m_wait) } });
}

std::optional<EndedPoll> DecodeEndedPoll(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    EndedPoll poll;
    poll.m_entry = EntryId(aJson.at("entry").get<std::string>());
    poll.m_after = aJson.at("after").get<std::uint64_t>();
    poll.m_wait = FromMicroseconds(aJson.at("wait_us"));
    return poll;
  });
}

std::string EncodeEndedTasks(const EndedTasks& aTasks)
{
  return DumpJson({ { "incarnation", aTasks.m_incarnation },
                    { "sequence", aTasks.m_sequence },
                    { "tasks", TasksToJson(aTasks.m_tasks) } });
}

std::optional<EndedTasks> DecodeEndedTasks(const std::string& aText)
{
  return ParseJson(aText, [](const Json& aJson) {
    EndedTasks tasks;
    tasks.m_incarnation = aJson.at("incarnation").get<std::uint64_t>();
    tasks.m_sequence = aJson.at("sequence").get<std::uint64_t>();
    tasks.m_tasks = TasksFromJson(aJson.at("tasks"));
    return tasks;
  });
}

} // namespace lycheestep
