#ifndef LYCHEESTEP_SESSION_WATCH_H
#define LYCHEESTEP_SESSION_WATCH_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core_context.h"
#include "lycheestep/id.h"
#include "lycheestep/table.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

class PeerDirectory;
class TableCalls;

// Told about sessions of other hosts of this data centre.
class SessionWatchListener
{
public:
  virtual ~SessionWatchListener() = default;

  // The session of that epoch and all before it are ended, by this host or
  // another, and can't be renewed any more: their records may be taken over.
  virtual void OnSessionEnded(CoreContext& aContext,
                              const EntryId& aEntry,
                              std::uint64_t aEpoch) = 0;
};

// Watches the session rows of this data centre with one read each
// m_sessionPeriod, and ends by conditional write the epoch of a host that
// stayed silent for the main term and the margin. Only sequence numbers and
// this host's own clock are used, and a gap in its own reads starts the count
// anew.
class SessionWatch
{
public:
  SessionWatch(TableCalls& aTable, PeerDirectory& aPeers);

  void SetListener(SessionWatchListener* aListener) { m_listener = aListener; }

  void Tick(CoreContext& aContext);
  TimePoint NextWakeup() const;

  // True when that very epoch was in force at the last read.
  bool IsLive(const EntryId& aEntry, std::uint64_t aEpoch) const;

  // The epoch that the host had at the last read; zero when it is not live.
  std::uint64_t LiveEpoch(const EntryId& aEntry) const;

  // True once the rows were read at least once.
  bool IsKnown() const { return m_known; }

  // Whether the epoch is over, and since when this host knows that no later
  // renewal of it can succeed. The terms of its shares count from aSince.
  bool IsEnded(const EntryId& aEntry,
               std::uint64_t aEpoch,
               TimePoint* aSince) const;

  // Live hosts of this data centre, this one included once it was read.
  std::vector<EntryId> LiveEntries() const;

  // Reads as soon as possible.
  void Refresh() { m_nextRead = TimePoint{}; }

private:
  struct Seen
  {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_version = 0;
    bool m_ended = false;
    std::string m_value;
    // When the sequence was last seen to change, by uninterrupted reads.
    TimePoint m_since;
    // The epoch of the first read and its time: all below were over by then.
    std::uint64_t m_firstEpoch = 0;
    TimePoint m_firstSeen;
    // When this host learnt that an epoch, and all before it, was over.
    std::map<std::uint64_t, TimePoint> m_endedEpochs;
    bool m_ending = false;
  };

  void HandleRead(CoreContext& aContext, const TableAnswer& aAnswer);
  void HandleRow(CoreContext& aContext, const TableRow& aRow, bool aGap);
  void EndSilent(CoreContext& aContext);
  void End(CoreContext& aContext, const EntryId& aEntry, Seen& aSeen);
  void MarkEnded(CoreContext& aContext,
                 const EntryId& aEntry,
                 Seen& aSeen,
                 std::uint64_t aEpoch);

  TableCalls& m_table;
  PeerDirectory& m_peers;
  SessionWatchListener* m_listener = nullptr;
  std::map<EntryId, Seen> m_sessions;
  bool m_known = false;
  bool m_busy = false;
  int m_failures = 0;
  TimePoint m_lastRead;
  TimePoint m_nextRead;
};

} // namespace lycheestep

#endif
