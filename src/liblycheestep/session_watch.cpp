#include "session_watch.h"

#include <string>
#include <utility>

#include "backoff.h"
#include "peer_directory.h"
#include "rows.pb.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

constexpr Duration kFirstRetry = std::chrono::milliseconds(250);

// Ended epochs of one host that are remembered.
constexpr std::size_t kEndedEpochsKept = 64;

std::string PrefixOf(const SchedulerSettings& aSettings)
{
  return "session/" + aSettings.m_dataCentre.Text() + "/";
}

} // namespace

SessionWatch::SessionWatch(TableCalls& aTable, PeerDirectory& aPeers)
  : m_table(aTable)
  , m_peers(aPeers)
{
}

void SessionWatch::Tick(CoreContext& aContext)
{
  if (m_busy || aContext.m_now < m_nextRead) {
    return;
  }
  m_busy = true;
  m_table.Read(aContext,
               { {}, { PrefixOf(aContext.m_settings) } },
               [this](CoreContext& aInner, const TableAnswer& aAnswer) {
                 m_busy = false;
                 HandleRead(aInner, aAnswer);
               });
}

TimePoint SessionWatch::NextWakeup() const
{
  return m_busy ? TimePoint::max() : m_nextRead;
}

void SessionWatch::HandleRead(CoreContext& aContext, const TableAnswer& aAnswer)
{
  const Duration period = aContext.m_settings.m_sessionPeriod;
  if (aAnswer.m_status != TableStatus::kOk) {
    ++m_failures;
    m_nextRead =
      aContext.m_now +
      BackoffDelay(aContext.m_random, kFirstRetry, period, m_failures);
    return;
  }
  m_failures = 0;
  m_nextRead = aContext.m_now + Jittered(aContext.m_random, period);
  const bool gap = !m_known || aContext.m_now - m_lastRead > 2 * period;
  for (const TableRow& row : aAnswer.m_rows) {
    HandleRow(aContext, row, gap);
  }
  m_known = true;
  m_lastRead = aContext.m_now;
  EndSilent(aContext);
}

void SessionWatch::HandleRow(CoreContext& aContext,
                             const TableRow& aRow,
                             bool aGap)
{
  proto::SessionRow row;
  if (!row.ParseFromString(aRow.m_value)) {
    return;
  }
  const EntryId entry(aRow.m_key.substr(PrefixOf(aContext.m_settings).size()));
  Seen& seen = m_sessions[entry];
  if (aRow.m_version < seen.m_version) {
    return;
  }
  if (seen.m_firstEpoch == 0) {
    seen.m_firstEpoch = row.epoch();
    seen.m_firstSeen = aContext.m_now;
  }
  const std::uint64_t former = seen.m_epoch;
  if (row.epoch() != former || row.sequence() != seen.m_sequence || aGap) {
    seen.m_since = aContext.m_now;
  }
  seen.m_epoch = row.epoch();
  seen.m_sequence = row.sequence();
  seen.m_version = aRow.m_version;
  seen.m_ended = row.ended();
  seen.m_value = aRow.m_value;
  if (!row.ended() && !row.address().empty()) {
    m_peers.NoteAddress(entry, row.address());
  }
  if (former != 0 && former != row.epoch()) {
    MarkEnded(aContext, entry, seen, row.epoch() - 1);
  }
  if (row.ended()) {
    MarkEnded(aContext, entry, seen, row.epoch());
  }
}

void SessionWatch::EndSilent(CoreContext& aContext)
{
  for (auto& [entry, seen] : m_sessions) {
    const bool silent =
      aContext.m_now - seen.m_since > aContext.m_settings.m_mainTerm;
    const bool self = entry == aContext.m_settings.m_entry;
    if (silent && !self && !seen.m_ended && !seen.m_ending) {
      End(aContext, entry, seen);
    }
  }
}

void SessionWatch::End(CoreContext& aContext,
                       const EntryId& aEntry,
                       Seen& aSeen)
{
  proto::SessionRow row;
  row.ParseFromString(aSeen.m_value);
  row.set_ended(true);
  row.set_sequence(row.sequence() + 1);
  const std::string key = PrefixOf(aContext.m_settings) + aEntry.Text();
  TableTransaction transaction;
  transaction.m_conditions.push_back({ key, aSeen.m_version });
  transaction.m_writes.push_back({ key, row.SerializeAsString(), false });
  aSeen.m_ending = true;
  m_table.Transact(
    aContext,
    std::move(transaction),
    [this, entry = aEntry, epoch = aSeen.m_epoch](CoreContext& aInner,
                                                  const TableAnswer& aAnswer) {
      Seen& seen = m_sessions[entry];
      seen.m_ending = false;
      // Any other answer is settled by the next read.
      if (aAnswer.m_status == TableStatus::kOk && seen.m_epoch == epoch) {
        seen.m_ended = true;
        MarkEnded(aInner, entry, seen, epoch);
      }
    });
}

void SessionWatch::MarkEnded(CoreContext& aContext,
                             const EntryId& aEntry,
                             Seen& aSeen,
                             std::uint64_t aEpoch)
{
  if (!aSeen.m_endedEpochs.emplace(aEpoch, aContext.m_now).second) {
    return;
  }
  if (aSeen.m_endedEpochs.size() > kEndedEpochsKept) {
    aSeen.m_endedEpochs.erase(aSeen.m_endedEpochs.begin());
  }
  aContext.m_actions.emplace_back(
    LogNote{ "members",
             "the session of " + aEntry.Text() + " of epoch " +
               std::to_string(aEpoch) + " is over",
             false });
  if (m_listener != nullptr) {
    m_listener->OnSessionEnded(aContext, aEntry, aEpoch);
  }
}

bool SessionWatch::IsLive(const EntryId& aEntry, std::uint64_t aEpoch) const
{
  auto found = m_sessions.find(aEntry);
  return found != m_sessions.end() && found->second.m_epoch == aEpoch &&
         !found->second.m_ended;
}

std::uint64_t SessionWatch::LiveEpoch(const EntryId& aEntry) const
{
  auto found = m_sessions.find(aEntry);
  const bool live = found != m_sessions.end() && !found->second.m_ended;
  return live ? found->second.m_epoch : 0;
}

bool SessionWatch::IsEnded(const EntryId& aEntry,
                           std::uint64_t aEpoch,
                           TimePoint* aSince) const
{
  auto found = m_sessions.find(aEntry);
  if (found == m_sessions.end()) {
    return false;
  }
  const Seen& seen = found->second;
  if (aEpoch < seen.m_firstEpoch) {
    *aSince = seen.m_firstSeen;
    return true;
  }
  // An entry covers all epochs up to its own.
  auto ended = seen.m_endedEpochs.lower_bound(aEpoch);
  if (ended != seen.m_endedEpochs.end()) {
    *aSince = ended->second;
    return true;
  }
  return false;
}

std::vector<EntryId> SessionWatch::LiveEntries() const
{
  std::vector<EntryId> live;
  for (const auto& [entry, seen] : m_sessions) {
    if (!seen.m_ended && seen.m_epoch != 0) {
      live.push_back(entry);
    }
  }
  return live;
}

} // namespace lycheestep
