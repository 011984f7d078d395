#ifndef LYCHEESTEP_SESSION_KEEPER_H
#define LYCHEESTEP_SESSION_KEEPER_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/table.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class TableCalls;

// Told about this host's own session.
class SessionListener
{
public:
  virtual ~SessionListener() = default;

  // A new epoch is in force: shares of former epochs of this process may be
  // moved to it.
  virtual void OnSessionOpened(CoreContext& aContext, std::uint64_t aEpoch) = 0;

  // The epoch was ended by another host: nothing may be started from its
  // shares from now on.
  virtual void OnSessionLost(CoreContext& aContext, std::uint64_t aEpoch) = 0;
};

// Holds this host's session row session/<data centre>/<entry>. One
// conditional write each m_sessionPeriod renews the terms of all shares. The
// terms count from the moment before the last successful renewal was sent and
// end m_termMargin early, so that they are over before any taker may act.
class SessionKeeper
{
public:
  explicit SessionKeeper(TableCalls& aTable);

  // Who is told; null tells nobody.
  void SetListener(SessionListener* aListener) { m_listener = aListener; }

  // Starts to open a session; Tick retries until it is open.
  void Start(CoreContext& aContext);

  // Renews or retries what is due.
  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const;

  // Ends the session for good, for a graceful stop; aDone is called when the
  // table confirmed it. A failed write is retried by Tick.
  void Close(CoreContext& aContext, std::function<void(CoreContext&)> aDone);

  // The epoch in force; zero while there is none.
  std::uint64_t Epoch() const { return m_open ? m_epoch : 0; }

  // True when aEpoch was held by this process, now or earlier.
  bool WasOurs(std::uint64_t aEpoch) const;

  // Ends of the two terms; the epoch of the clock without a session.
  TimePoint MainUntil() const { return m_open ? m_mainUntil : TimePoint{}; }
  TimePoint ReserveUntil() const
  {
    return m_open ? m_reserveUntil : TimePoint{};
  }

  // True when the table answered the last call.
  bool IsTableReachable() const { return m_failures == 0; }

  // The key of a host's session row.
  static std::string KeyOf(const DataCentreName& aDataCentre,
                           const EntryId& aEntry);

private:
  void Read(CoreContext& aContext);
  void HandleRow(CoreContext& aContext, const TableRow& aRow);
  void WriteRow(CoreContext& aContext, bool aEnded);
  void HandleWritten(CoreContext& aContext,
                     std::uint64_t aSequence,
                     const TableAnswer& aAnswer);
  void Renewed(CoreContext& aContext, std::uint64_t aSequence);
  void Lose(CoreContext& aContext);
  void Retry(CoreContext& aContext);
  void Step(CoreContext& aContext);
  void FinishClose(CoreContext& aContext);

  TableCalls& m_table;
  SessionListener* m_listener = nullptr;
  bool m_started = false;
  bool m_open = false;
  bool m_busy = false;
  bool m_closing = false;
  bool m_closed = false;
  // What the next step has to be: reading first, or writing at m_version.
  bool m_mustRead = true;
  // The epoch being opened or held, and all that this process ever held.
  std::uint64_t m_epoch = 0;
  std::set<std::uint64_t> m_ownEpochs;
  // Identifies this process's writes among those of an earlier process of
  // the same name.
  std::uint64_t m_sequence = 0;
  std::uint64_t m_version = 0;
  // When each write not yet superseded was sent, by sequence.
  std::map<std::uint64_t, TimePoint> m_sent;
  TimePoint m_mainUntil;
  TimePoint m_reserveUntil;
  TimePoint m_nextStep;
  int m_failures = 0;
  std::function<void(CoreContext&)> m_closeDone;
};

} // namespace lycheestep

#endif
