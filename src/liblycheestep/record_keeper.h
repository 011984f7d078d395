#ifndef LYCHEESTEP_RECORD_KEEPER_H
#define LYCHEESTEP_RECORD_KEEPER_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/request.h"
#include "lycheestep/resources.h"
#include "lycheestep/table.h"
#include "lycheestep/time_types.h"
#include "rows.pb.h"

namespace lycheestep {

class SessionKeeper;
class TableCalls;

// How a change of a record ended.
enum class RecordStatus
{
  kDone,      // the table holds the change
  kDuplicate, // Accept only: a record of that id exists; it is handed over
  kLost,      // the record is another holder's or in another state now
  kNotSent,   // Accept only: the table has and will have nothing of it
};

// Called once with the record as it now stands in the table; null with
// kNotSent.
using RecordContinuation = std::function<
  void(CoreContext&, RecordStatus, const proto::RecordRow* aRecord)>;

// Called with the record of an id, or null when there is none. aReached is
// false when the table could not be asked.
using RecordFound = std::function<
  void(CoreContext&, bool aReached, const proto::RecordRow* aRecord)>;

// Told about records that this host has taken over from a dead one.
class RecordListener
{
public:
  virtual ~RecordListener() = default;

  // The record is this host's now. ACCEPTED: it was never sent and waits for
  // placement. DISPATCHED: each attempt has to be asked for at its target
  // before anything else. Finished records aren't reported.
  virtual void OnAdopted(CoreContext& aContext,
                         const proto::RecordRow& aRecord) = 0;
};

// The durable records of requests, record/<id>. Changes of many records share
// one transaction; an acknowledged change is in the table. A lost reply is
// settled by reading back, and a change is never reported as made or not made
// by guess: its continuation waits until it is settled, which in an outage is
// after it. Beside each record stands held/<data centre>/<entry>/<id>, so
// that the records of a dead host are found without reading all records.
class RecordKeeper
{
public:
  RecordKeeper(TableCalls& aTable, SessionKeeper& aSession);
  ~RecordKeeper();

  void SetListener(RecordListener* aListener) { m_listener = aListener; }

  // Commits batches, retries, removes old records, goes on taking over.
  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const;

  // Writes a new record in state ACCEPTED. Before the continuation nothing
  // may be acknowledged. kNotSent: the caller may be told "not run".
  void Accept(CoreContext& aContext,
              const Request& aRequest,
              RecordContinuation aContinue);

  // Moves an own record from ACCEPTED, or from DISPATCHED when the former
  // attempts are known to be over or never started, to DISPATCHED with fresh
  // attempts. Only after kDone may anything be sent to a target, and only if
  // the right to do so still holds then.
  void Dispatch(CoreContext& aContext,
                const RequestId& aId,
                const std::vector<proto::RecordAttempt>& aAttempts,
                RecordContinuation aContinue);

  // Puts an own record back to ACCEPTED: every attempt is known never to
  // have started or to be over, and it may run again.
  void Requeue(CoreContext& aContext,
               const RequestId& aId,
               RecordContinuation aContinue);

  // Writes the outcome. The answer may be given to callers from the
  // continuation on; "not run" must not be given before it.
  void Finish(CoreContext& aContext,
              const RequestId& aId,
              proto::RecordRow::State aState,
              std::error_code aError,
              const std::string& aDetail,
              const std::string& aAnswer,
              RecordContinuation aContinue);

  // Marks a record cancelled, whichever host holds it: its holder sees it at
  // its next change, or is told by a peer message.
  void Cancel(CoreContext& aContext,
              const RequestId& aId,
              RecordContinuation aContinue);

  // Finds a record: own ones from memory, else from the table.
  void Find(CoreContext& aContext, const RequestId& aId, RecordFound aFound);

  // The own record of that id, or null.
  const proto::RecordRow* FindOwn(const RequestId& aId) const;

  // A host's session ended: takes over its records, a bounded number at a
  // time. Peers may do the same; each record goes to one of them.
  void TakeOver(CoreContext& aContext,
                const EntryId& aEntry,
                std::uint64_t aEpoch);

  // Changes that wait for the table, and transactions sent so far.
  std::size_t Waiting() const { return m_queue.size() + m_inFlight; }
  std::uint64_t TransactionsSent() const { return m_transactionsSent; }
  std::size_t OwnRecords() const { return m_records.size(); }

private:
  // One change of one record.
  struct Change
  {
    // Makes the change; false when the record is not in a state for it.
    std::function<bool(proto::RecordRow&)> m_apply;
    RecordContinuation m_continue;
    // Accept: kNotSent may be reported as long as nothing was sent.
    bool m_create = false;
    bool m_remove = false;
    bool m_maySettleNotSent = false;
  };

  struct Record
  {
    proto::RecordRow m_row;
    std::uint64_t m_version = 0;
    std::deque<Change> m_changes;
    bool m_queued = false;
    // The value that the change in flight writes.
    std::string m_writing;
    bool m_known = false;
    TimePoint m_removeAt;
  };

  void AddChange(CoreContext& aContext, const RequestId& aId, Change aChange);
  void Commit(CoreContext& aContext);
  bool PrepareFront(CoreContext& aContext, const RequestId& aId);
  void HandleCommitted(CoreContext& aContext,
                       const std::vector<RequestId>& aIds,
                       const TableAnswer& aAnswer);
  void ReadBack(CoreContext& aContext, const std::vector<RequestId>& aIds);
  void Settle(CoreContext& aContext,
              const RequestId& aId,
              const TableRow* aRow);
  void FinishFront(CoreContext& aContext,
                   const RequestId& aId,
                   RecordStatus aStatus);
  void Enqueue(const RequestId& aId);
  void Back(CoreContext& aContext);
  void DropUnsent(CoreContext& aContext, const std::vector<RequestId>& aIds);
  void ListHeld(CoreContext& aContext);
  void AdoptSome(CoreContext& aContext);
  void HandleAdoptable(CoreContext& aContext, const TableAnswer& aAnswer);
  void RemoveOld(CoreContext& aContext);
  std::string HeldKey(const EntryId& aEntry, const RequestId& aId) const;

  TableCalls& m_table;
  SessionKeeper& m_session;
  RecordListener* m_listener = nullptr;
  EntryId m_self;
  DataCentreName m_dataCentre;
  std::map<RequestId, Record> m_records;
  // Records with a change that waits to be committed.
  std::deque<RequestId> m_queue;
  std::size_t m_inFlight = 0;
  TimePoint m_nextCommit;
  TimePoint m_lastCommit;
  int m_failures = 0;
  std::deque<std::pair<TimePoint, RequestId>> m_finished;
  // Epochs whose records are to be taken over, and ids found of them.
  std::map<EntryId, std::uint64_t> m_deadEpochs;
  std::set<EntryId> m_toList;
  std::deque<RequestId> m_toAdopt;
  bool m_adopting = false;
  TimePoint m_nextAdopt;
  std::uint64_t m_transactionsSent = 0;
};

} // namespace lycheestep

#endif
