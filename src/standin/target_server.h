#ifndef LYCHEESTEP_TARGET_SERVER_H
#define LYCHEESTEP_TARGET_SERVER_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

#include "http_server.h"
#include "lycheestep/target_protocol.h"
#include "lycheestep/time_types.h"
#include "target_model.h"

namespace lycheestep {

// One target over HTTP. POST /control {"action": "leave" | "leave_list" |
// "return" | "fail" | "heal" | "die" | "restart" | "pause" | "resume"} sets
// its faults, and GET /control/ledger tells what it ran. A dead target
// answers every call with an error, a paused one answers when it goes on.
class TargetServer
{
public:
  // A task whose body does not say otherwise runs for aRunTime.
  TargetServer(TargetListing aListing,
               CheckpointStore& aCheckpoints,
               Duration aRunTime);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  // Listens; the address in the listing follows from the port.
  std::error_code Listen(const std::string& aHost, int aPort);
  void Stop();

  // As the host list shows it now.
  TargetListing Listing() const;

  // A copy of what it did.
  TargetLedger Ledger() const;

  // As POST /control does; false for an unknown action.
  bool Control(const std::string& aAction);

private:
  // The ends that one entry host waits for and has not confirmed.
  struct Mailbox
  {
    std::uint64_t m_sequence = 0;
    std::deque<std::pair<std::uint64_t, TaskReport>> m_ends;
  };

  void AddRoutes();
  // Holds the call back while paused; answers an error when dead.
  HttpAnswer Serve(const std::function<HttpAnswer()>& aCall);
  HttpAnswer Start(const HttpCall& aCall);
  HttpAnswer Renew(const HttpCall& aCall);
  HttpAnswer ControlTask(const HttpCall& aCall);
  HttpAnswer Query(const HttpCall& aCall);
  HttpAnswer Ended(const HttpCall& aCall);
  HttpAnswer LedgerAnswer() const;
  void Run();
  void PostEnds(TimePoint aNow);
  void Die();

  const Duration m_runTime;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  TargetModel m_model;
  std::string m_address;
  std::map<AttemptId, EntryId> m_notify;
  std::map<EntryId, Mailbox> m_mailboxes;
  std::uint64_t m_incarnation;
  TimePoint m_upSince;
  bool m_paused = false;
  bool m_stopping = false;
  HttpServer m_server;
  std::thread m_clock;
};

} // namespace lycheestep

#endif
