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
#include <utility>
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

  // Another host took over a record of this one, which it held for dead. The
  // request is that host's now: nothing more may be sent, renewed or answered
  // for it here.
  virtual void OnRecordLost(CoreContext& aContext, const RequestId& aId) = 0;
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

  // This process opened a new session after its former one was ended: its
  // open records are written anew, which shows those that went to others.
  void HandleSessionOpened(CoreContext& aContext);

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
    // Makes the change, also when it is made already; false when the record
    // is not in a state for it.
    std::function<bool(proto::RecordRow&)> m_apply;
    RecordContinuation m_continue;
    bool m_create = false;
    bool m_remove = false;
    // A write of it was sent and may have reached the table.
    bool m_maybeSent = false;
  };

  struct Record
  {
    proto::RecordRow m_row;
    std::uint64_t m_version = 0;
    std::deque<Change> m_changes;
    // The value that the change in flight writes.
    std::string m_writing;
    // Finished, with the body and the answer dropped from memory.
    bool m_trimmed = false;
  };

  using Ids = std::vector<RequestId>;

  void AddChange(CoreContext& aContext, const RequestId& aId, Change aChange);
  void Enqueue(CoreContext& aContext, const RequestId& aId);
  void Commit(CoreContext& aContext);
  bool Prepare(CoreContext& aContext,
               const RequestId& aId,
               TableTransaction* aTransaction);
  void HandleCommitted(CoreContext& aContext,
                       const Ids& aIds,
                       const TableAnswer& aAnswer);
  void HandleUnsent(CoreContext& aContext, const Ids& aIds);
  void ReadBack(CoreContext& aContext, const Ids& aIds);
  void SettleAll(CoreContext& aContext,
                 const Ids& aIds,
                 const TableAnswer& aAnswer);
  void Settle(CoreContext& aContext,
              const RequestId& aId,
              const TableRow& aRow);
  void Complete(CoreContext& aContext, const RequestId& aId);
  void FinishFront(CoreContext& aContext,
                   const RequestId& aId,
                   RecordStatus aStatus);
  void Drop(CoreContext& aContext,
            const RequestId& aId,
            RecordStatus aStatus,
            const proto::RecordRow* aRow);
  bool IsHeldHere(const proto::RecordRow& aRow) const;
  void Trim(CoreContext& aContext, const RequestId& aId, Record& aRecord);
  void CancelElsewhere(CoreContext& aContext,
                       const RequestId& aId,
                       int aTriesLeft,
                       const RecordContinuation& aContinue);
  void WriteCancelled(CoreContext& aContext,
                      const RequestId& aId,
                      const TableRow& aRow,
                      int aTriesLeft,
                      const RecordContinuation& aContinue);
  void ListHeld(CoreContext& aContext);
  void AdoptSome(CoreContext& aContext);
  void TakeRows(CoreContext& aContext,
                const Ids& aIds,
                const TableAnswer& aAnswer);
  void Adopted(CoreContext& aContext,
               const std::map<RequestId, proto::RecordRow>& aRows,
               const TableAnswer& aAnswer);
  void RetryAdoption(CoreContext& aContext, const Ids& aIds);
  void RemoveOld(CoreContext& aContext);
  std::string HeldKey(const std::string& aEntry, const RequestId& aId) const;

  TableCalls& m_table;
  SessionKeeper& m_session;
  RecordListener* m_listener = nullptr;
  EntryId m_self;
  DataCentreName m_dataCentre;
  std::map<RequestId, Record> m_records;
  // Records whose first change waits to be committed.
  std::deque<RequestId> m_queue;
  std::size_t m_inFlight = 0;
  int m_transactionsInFlight = 0;
  TimePoint m_nextCommit = TimePoint::max();
  TimePoint m_lastCommit;
  int m_failures = 0;
  // Batches to be read back.
  std::deque<Ids> m_toReadBack;
  TimePoint m_nextReadBack = TimePoint::max();
  std::deque<std::pair<TimePoint, RequestId>> m_finished;
  TimePoint m_nextRemove;
  // The latest ended epoch of each dead host, hosts whose records have to be
  // listed, and ids that were found and may be taken over.
  std::map<std::string, std::uint64_t> m_deadEpochs;
  std::set<std::string> m_toList;
  std::deque<RequestId> m_toAdopt;
  bool m_adopting = false;
  int m_adoptFailures = 0;
  TimePoint m_nextAdopt;
  std::uint64_t m_transactionsSent = 0;
};

} // namespace lycheestep

#endif
