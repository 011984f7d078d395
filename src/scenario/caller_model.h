#ifndef LYCHEESTEP_CALLER_MODEL_H
#define LYCHEESTEP_CALLER_MODEL_H

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cell_access.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/request.h"

namespace lycheestep {

// What a caller asked with one ticket.
enum class CallSort
{
  kSubmit,
  kResult,
  kCancel,
};

// One call and everything that came back for it.
struct CallRecord
{
  CallSort m_sort = CallSort::kSubmit;
  std::size_t m_request = 0;
  EntryId m_entry;
  std::uint64_t m_incarnation = 0;
  TimePoint m_sent;
  // The connection broke, or the caller hung up.
  bool m_over = false;
  std::vector<Answer> m_answers;
  // Answers that came before the call was over; nobody heard the others.
  std::size_t m_heard = 0;
};

// One request of one caller, over all its calls.
struct CallerRequest
{
  RequestId m_id;
  KindName m_kind;
  CustomerName m_customer;
  DataCentreName m_dataCentre;
  // The caller asks again with the same id, at any host, until it knows.
  bool m_durable = false;
  TimePoint m_sent;
  // A host said that it accepted the request.
  bool m_acknowledged = false;
  bool m_cancelAsked = false;
  // A call is under way.
  bool m_calling = false;
  // The id was sent to some host before.
  bool m_sentBefore = false;
  // Nobody was there to take it.
  std::size_t m_noHost = 0;
  std::size_t m_unknownAnswers = 0;
  // The last answer was unknown, and not merely pending.
  bool m_saidUnknown = false;
  // The answer that settled it; none when the connection was lost.
  std::optional<Answer> m_final;
  TimePoint m_finalAt;
  // A quick request whose connection broke: the caller gave up.
  bool m_gaveUp = false;
  // A call said "not run" and named the request.
  bool m_saidNotRun = false;
  // An acknowledged request that a host knew nothing of.
  bool m_forgotten = false;
};

// Callers of the cell behind the platform's balancer. Those of durable work
// ask until they know what became of it; others give up when their host dies.
class CallerModel
{
public:
  // aAskPeriod: callers of durable work ask again this often.
  CallerModel(CellAccess& aCell,
              const Catalogue& aCatalogue,
              Duration aAskPeriod);

  // A new request of that kind from a caller near that data centre.
  void Submit(const KindName& aKind, const DataCentreName& aDataCentre);

  // Takes back up to aCount requests of the kind that are not settled.
  void Cancel(const KindName& aKind, std::size_t aCount);

  // An entry host answered.
  void Answered(const VirtualHost& aHost, const AnswerCaller& aAnswer);

  // The process at that host is gone: its connections break.
  void HostGone(const VirtualHost& aHost);

  const std::vector<CallerRequest>& Requests() const { return m_requests; }
  const std::map<CallerTicket, CallRecord>& Calls() const { return m_calls; }

  // Answers for tickets that nobody holds.
  std::size_t StrayAnswers() const { return m_strayAnswers; }

  // Calls at the host's process that still wait for an answer.
  std::size_t OpenCallsAt(const VirtualHost& aHost) const;

private:
  VirtualHost* ChooseHost(const DataCentreName& aDataCentre);
  static bool LooksAlive(const VirtualHost& aHost);
  void Call(std::size_t aRequest, CallSort aSort);
  Event EventFor(CallerTicket aTicket, const CallRecord& aCall) const;
  void Settle(CallerRequest& aRequest, const Answer& aAnswer);
  void AskLater(std::size_t aRequest);
  void AskAgain(std::size_t aRequest);
  void LoseCall(CallRecord& aCall);

  CellAccess& m_cell;
  const Catalogue& m_catalogue;
  Duration m_askPeriod;
  std::vector<CallerRequest> m_requests;
  std::map<CallerTicket, CallRecord> m_calls;
  // Open tickets by host, so that a death touches only its own.
  std::map<EntryId, std::vector<CallerTicket>> m_open;
  CallerTicket m_nextTicket = 1;
  std::size_t m_turn = 0;
  std::size_t m_strayAnswers = 0;
};

} // namespace lycheestep

#endif
