#include "target_server.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>

#include "json_codec.h"
#include "standin_work.h"
#include "target_json.h"

namespace lycheestep {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

// Usage shows in reports this long after a start.
constexpr Duration kUsageLag = std::chrono::seconds(2);
// Ends kept for an entry host that does not fetch them.
constexpr std::size_t kMailboxLimit = 10000;
// Longest that a poll is held back.
constexpr Duration kPollLimit = std::chrono::seconds(5);

HttpAnswer MakeAnswer(int aStatus, std::string aBody)
{
  HttpAnswer answer;
  answer.m_status = aStatus;
  answer.m_body = std::move(aBody);
  return answer;
}

std::string ErrorBody(int /*aStatus*/)
{
  return "{}";
}

const char* NameOf(TaskEnd aEnd)
{
  switch (aEnd) {
    case TaskEnd::kRunning:
      return "running";
    case TaskEnd::kSucceeded:
      return "succeeded";
    case TaskEnd::kFailed:
      return "failed";
    case TaskEnd::kStopped:
      return "stopped";
    case TaskEnd::kCheckpointed:
      return "checkpointed";
    case TaskEnd::kLapsed:
      return "lapsed";
    case TaskEnd::kDied:
      return "died";
  }
  return "running";
}

nlohmann::json TaskToJson(const TaskRecord& aTask)
{
  return { { "attempt", aTask.m_attempt.Text() },
           { "request", aTask.m_request.Text() },
           { "kind", aTask.m_kind.Text() },
           { "started_us", ToMicroseconds(aTask.m_started.time_since_epoch()) },
           { "ended_us", ToMicroseconds(aTask.m_ended.time_since_epoch()) },
           { "end", NameOf(aTask.m_end) } };
}

} // namespace

TargetServer::TargetServer(TargetListing aListing,
                           CheckpointStore& aCheckpoints,
                           Duration aRunTime)
  : m_runTime(aRunTime)
  , m_model(std::move(aListing), kUsageLag, aCheckpoints)
  , m_incarnation(std::random_device()())
  , m_upSince(Clock::now())
  , m_server(HttpLimits(), ErrorBody)
{
  AddRoutes();
}

TargetServer::~TargetServer()
{
  Stop();
}

std::error_code TargetServer::Listen(const std::string& aHost, int aPort)
{
  const std::error_code error = m_server.Listen(aHost, aPort);
  if (error) {
    return error;
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_address = aHost + ":" + std::to_string(m_server.Port());
  }
  m_clock = std::thread([this] { Run(); });
  pthread_setname_np(m_clock.native_handle(), "target-clock");
  return {};
}

void TargetServer::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_server.Stop();
  if (m_clock.joinable()) {
    m_clock.join();
  }
}

TargetListing TargetServer::Listing() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  TargetListing listing = m_model.Listing();
  listing.m_address = m_address;
  return listing;
}

TargetLedger TargetServer::Ledger() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_model.Ledger();
}

bool TargetServer::Control(const std::string& aAction)
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_changed.notify_all();
  if (aAction == "leave" || aAction == "leave_list") {
    m_model.Leave(aAction == "leave", Clock::now());
  } else if (aAction == "return") {
    m_model.Return();
  } else if (aAction == "fail" || aAction == "heal") {
    m_model.SetFailing(aAction == "fail");
  } else if (aAction == "die") {
    Die();
  } else if (aAction == "restart") {
    m_model.Restart();
    m_upSince = Clock::now();
    ++m_incarnation;
  } else if (aAction == "pause" || aAction == "resume") {
    m_paused = aAction == "pause";
  } else {
    return false;
  }
  return true;
}

void TargetServer::Die()
{
  m_model.Die(Clock::now());
  m_notify.clear();
  m_mailboxes.clear();
}

void TargetServer::AddRoutes()
{
  const auto add = [this](const std::string& aPattern,
                          HttpAnswer (TargetServer::*aDo)(const HttpCall&)) {
    m_server.AddRoute(
      HttpMethod::kPost, aPattern, [this, aDo](const HttpCall& aCall) {
        return Serve([&] { return (this->*aDo)(aCall); });
      });
  };
  add("/v1/tasks", &TargetServer::Start);
  add("/v1/leases", &TargetServer::Renew);
  add("/v1/tasks/(.+)/control", &TargetServer::ControlTask);
  add("/v1/tasks/(.+)/query", &TargetServer::Query);
  m_server.AddRoute(HttpMethod::kPost,
                    "/v1/ended",
                    [this](const HttpCall& aCall) { return Ended(aCall); });
  m_server.AddRoute(
    HttpMethod::kPost, "/control", [this](const HttpCall& aCall) {
      const auto action =
        ParseJson(aCall.m_body, [](const nlohmann::json& aJson) {
          return aJson.at("action").get<std::string>();
        });
      const bool known = action && Control(*action);
      return MakeAnswer(known ? kOk : kBadRequest, "{}");
    });
  m_server.AddRoute(
    HttpMethod::kGet, "/control/ledger", [this](const HttpCall& /*aCall*/) {
      return LedgerAnswer();
    });
}

HttpAnswer TargetServer::Serve(const std::function<HttpAnswer()>& aCall)
{
  std::unique_lock<std::mutex> lock(m_mutex);
  m_changed.wait(lock, [this] { return m_stopping || !m_paused; });
  if (!m_model.IsAlive()) {
    return MakeAnswer(kUnavailable, "{}");
  }
  return aCall();
}

HttpAnswer TargetServer::Start(const HttpCall& aCall)
{
  const auto call = DecodeStartCall(aCall.m_body);
  if (!call) {
    return MakeAnswer(kBadRequest, "{}");
  }
  StartResult result;
  if (call->m_target != m_model.Listing().m_id) {
    result.m_detail = "another target is at this address";
    return MakeAnswer(kOk, EncodeStartResult(result));
  }
  const TaskStart& start = call->m_start;
  const StartReply reply =
    m_model.Start(start, BehaviourOf(start, m_runTime), Clock::now());
  result.m_started = reply.m_status == StartStatus::kStarted;
  result.m_detail = reply.m_detail;
  result.m_leaving = reply.m_leaving;
  if (result.m_started && !call->m_notify.Empty()) {
    m_notify.emplace(start.m_attempt, call->m_notify);
  }
  m_changed.notify_all();
  return MakeAnswer(kOk, EncodeStartResult(result));
}

HttpAnswer TargetServer::Renew(const HttpCall& aCall)
{
  const auto renewal = DecodeRenewal(aCall.m_body);
  if (!renewal) {
    return MakeAnswer(kBadRequest, "{}");
  }
  m_changed.notify_all();
  return MakeAnswer(kOk, EncodeReport(m_model.Renew(*renewal, Clock::now())));
}

HttpAnswer TargetServer::ControlTask(const HttpCall& aCall)
{
  const auto control = DecodeControl(aCall.m_body);
  if (!control) {
    return MakeAnswer(kBadRequest, "{}");
  }
  m_model.Control(AttemptId(aCall.m_names.front()), *control, Clock::now());
  m_changed.notify_all();
  return MakeAnswer(kOk, "{}");
}

HttpAnswer TargetServer::Query(const HttpCall& aCall)
{
  const auto query = DecodeAttemptQuery(aCall.m_body);
  if (!query || query->m_target != m_model.Listing().m_id) {
    return MakeAnswer(query ? kMisdirected : kBadRequest, "{}");
  }
  const TimePoint now = Clock::now();
  TaskReport report = m_model.Query(AttemptId(aCall.m_names.front()), now);
  // This process knows nothing of what an earlier one ran.
  report.m_targetUpFor = std::min(report.m_targetUpFor, now - m_upSince);
  return MakeAnswer(kOk, EncodeTask(report));
}

HttpAnswer TargetServer::Ended(const HttpCall& aCall)
{
  const auto poll = DecodeEndedPoll(aCall.m_body);
  if (!poll) {
    return MakeAnswer(kBadRequest, "{}");
  }
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::uint64_t incarnation = m_incarnation;
  const auto ready = [&] {
    const Mailbox& mailbox = m_mailboxes[poll->m_entry];
    return m_stopping || m_incarnation != incarnation ||
           (!m_paused && m_model.IsAlive() &&
            mailbox.m_sequence > poll->m_after);
  };
  m_changed.wait_for(lock, std::min(poll->m_wait, kPollLimit), ready);
  m_changed.wait(lock, [this] { return m_stopping || !m_paused; });
  if (!m_model.IsAlive()) {
    return MakeAnswer(kUnavailable, "{}");
  }
  Mailbox& mailbox = m_mailboxes[poll->m_entry];
  while (!mailbox.m_ends.empty() &&
         mailbox.m_ends.front().first <= poll->m_after) {
    mailbox.m_ends.pop_front();
  }
  EndedTasks ended;
  ended.m_incarnation = m_incarnation;
  ended.m_sequence = mailbox.m_sequence;
  for (const auto& [sequence, report] : mailbox.m_ends) {
    ended.m_tasks.push_back(report);
  }
  return MakeAnswer(kOk, EncodeEndedTasks(ended));
}

HttpAnswer TargetServer::LedgerAnswer() const
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  const TargetLedger& ledger = m_model.Ledger();
  nlohmann::json tasks = nlohmann::json::array();
  for (const TaskRecord& task : ledger.m_tasks) {
    tasks.push_back(TaskToJson(task));
  }
  nlohmann::json refused = nlohmann::json::array();
  for (const RefusedStart& start : ledger.m_refused) {
    refused.push_back({ { "attempt", start.m_attempt.Text() },
                        { "request", start.m_request.Text() } });
  }
  const Resources& capacity = m_model.Listing().m_capacity;
  return MakeAnswer(kOk,
                    DumpJson({ { "target", m_model.Listing().m_id.Text() },
                               { "tasks", tasks },
                               { "refused", refused },
                               { "duplicates", ledger.m_duplicates },
                               { "calls", ledger.m_calls },
                               { "peak", ResourcesToJson(ledger.m_peak) },
                               { "capacity", ResourcesToJson(capacity) } }));
}

void TargetServer::Run()
{
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    const TimePoint now = Clock::now();
    if (!m_paused) {
      PostEnds(now);
    }
    const TimePoint next = m_model.NextEnd();
    if (m_paused || next == TimePoint::max()) {
      m_changed.wait(lock);
    } else if (next > now) {
      m_changed.wait_until(lock, next);
    }
  }
}

void TargetServer::PostEnds(TimePoint aNow)
{
  bool posted = false;
  for (TaskReport& report : m_model.Advance(aNow)) {
    const auto notify = m_notify.find(report.m_attempt);
    if (notify == m_notify.end()) {
      continue;
    }
    Mailbox& mailbox = m_mailboxes[notify->second];
    ++mailbox.m_sequence;
    mailbox.m_ends.emplace_back(mailbox.m_sequence, std::move(report));
    if (mailbox.m_ends.size() > kMailboxLimit) {
      mailbox.m_ends.pop_front();
    }
    m_notify.erase(notify);
    posted = true;
  }
  if (posted) {
    m_changed.notify_all();
  }
}

} // namespace lycheestep
