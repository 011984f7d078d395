#include "session_keeper.h"

#include <string>
#include <utility>

#include "backoff.h"
#include "rows.pb.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

constexpr Duration kFirstRetry = std::chrono::milliseconds(250);

// Sequence numbers start at a random point below this, so that the writes of
// two processes of one name are told apart.
constexpr std::uint64_t kSequenceStarts = std::uint64_t{ 1 } << 62;

// The row of that key in an answer; version zero when it is absent.
TableRow RowOf(const TableAnswer& aAnswer, const std::string& aKey)
{
  for (const TableRow& row : aAnswer.m_rows) {
    if (row.m_key == aKey) {
      return row;
    }
  }
  return { aKey, "", 0 };
}

} // namespace

SessionKeeper::SessionKeeper(TableCalls& aTable)
  : m_table(aTable)
{
}

std::string SessionKeeper::KeyOf(const DataCentreName& aDataCentre,
                                 const EntryId& aEntry)
{
  return "session/" + aDataCentre.Text() + "/" + aEntry.Text();
}

void SessionKeeper::Start(CoreContext& aContext)
{
  m_started = true;
  m_sequence = aContext.m_random() % kSequenceStarts;
  Step(aContext);
}

void SessionKeeper::Tick(CoreContext& aContext)
{
  if (m_started && !m_busy && !m_closed && aContext.m_now >= m_nextStep) {
    Step(aContext);
  }
}

TimePoint SessionKeeper::NextWakeup() const
{
  return m_started && !m_busy && !m_closed ? m_nextStep : TimePoint::max();
}

void SessionKeeper::Close(CoreContext& aContext,
                          std::function<void(CoreContext&)> aDone)
{
  m_closing = true;
  m_closeDone = std::move(aDone);
  if (!m_open) {
    FinishClose(aContext);
    return;
  }
  m_nextStep = aContext.m_now;
  Tick(aContext);
}

bool SessionKeeper::WasOurs(std::uint64_t aEpoch) const
{
  return m_ownEpochs.count(aEpoch) != 0;
}

void SessionKeeper::Step(CoreContext& aContext)
{
  if (m_mustRead) {
    Read(aContext);
  } else {
    WriteRow(aContext, m_closing);
  }
}

void SessionKeeper::Read(CoreContext& aContext)
{
  m_busy = true;
  const std::string key =
    KeyOf(aContext.m_settings.m_dataCentre, aContext.m_settings.m_entry);
  m_table.Read(aContext,
               { { key }, {} },
               [this, key](CoreContext& aInner, const TableAnswer& aAnswer) {
                 m_busy = false;
                 if (aAnswer.m_status != TableStatus::kOk) {
                   Retry(aInner);
                   return;
                 }
                 m_failures = 0;
                 m_mustRead = false;
                 HandleRow(aInner, RowOf(aAnswer, key));
               });
}

void SessionKeeper::HandleRow(CoreContext& aContext, const TableRow& aRow)
{
  proto::SessionRow row;
  if (aRow.m_version != 0 && !row.ParseFromString(aRow.m_value)) {
    // A row that can't be read is replaced under an epoch far above any that
    // was counted up to.
    row.set_epoch(m_epoch + kSequenceStarts);
  }
  m_version = aRow.m_version;
  const bool ours =
    m_epoch != 0 && row.epoch() == m_epoch && m_sent.count(row.sequence()) != 0;
  if (ours && !row.ended()) {
    Renewed(aContext, row.sequence());
    if (row.sequence() != m_sequence) {
      m_nextStep = aContext.m_now;
    }
    return;
  }
  if (m_closing) {
    FinishClose(aContext);
    return;
  }
  if (m_open) {
    Lose(aContext);
  }
  m_sent.clear();
  m_epoch = row.epoch() + 1;
  WriteRow(aContext, false);
}

void SessionKeeper::WriteRow(CoreContext& aContext, bool aEnded)
{
  m_busy = true;
  const std::uint64_t sequence = ++m_sequence;
  m_sent[sequence] = aContext.m_now;
  proto::SessionRow row;
  row.set_epoch(m_epoch);
  row.set_sequence(sequence);
  row.set_ended(aEnded);
  row.set_address(aContext.m_settings.m_peerAddress);
  const std::string key =
    KeyOf(aContext.m_settings.m_dataCentre, aContext.m_settings.m_entry);
  TableTransaction transaction;
  transaction.m_conditions.push_back({ key, m_version });
  transaction.m_writes.push_back({ key, row.SerializeAsString(), false });
  m_table.Transact(
    aContext,
    std::move(transaction),
    [this, sequence](CoreContext& aInner, const TableAnswer& aAnswer) {
      m_busy = false;
      HandleWritten(aInner, sequence, aAnswer);
    });
}

void SessionKeeper::HandleWritten(CoreContext& aContext,
                                  std::uint64_t aSequence,
                                  const TableAnswer& aAnswer)
{
  if (aAnswer.m_status == TableStatus::kNotSent) {
    Retry(aContext);
    return;
  }
  if (aAnswer.m_status == TableStatus::kUnknown) {
    m_mustRead = true;
    Retry(aContext);
    return;
  }
  m_failures = 0;
  const TableRow row =
    RowOf(aAnswer,
          KeyOf(aContext.m_settings.m_dataCentre, aContext.m_settings.m_entry));
  if (aAnswer.m_status == TableStatus::kConflict) {
    HandleRow(aContext, row);
    return;
  }
  m_version = row.m_version;
  if (m_closing) {
    // Either this was the write that ended the session, or it was a renewal
    // that Close overtook; the next step tells by reading.
    m_mustRead = true;
  }
  Renewed(aContext, aSequence);
}

void SessionKeeper::Renewed(CoreContext& aContext, std::uint64_t aSequence)
{
  const TimePoint sentAt = m_sent.at(aSequence);
  m_sent.erase(m_sent.begin(), m_sent.find(aSequence));
  const SchedulerSettings& settings = aContext.m_settings;
  m_mainUntil = sentAt + settings.m_mainTerm - settings.m_termMargin;
  m_reserveUntil = sentAt + settings.m_reserveTerm - settings.m_termMargin;
  m_nextStep = aContext.m_now;
  if (!m_closing) {
    m_nextStep += Jittered(aContext.m_random, settings.m_sessionPeriod);
  }
  if (m_open) {
    return;
  }
  m_open = true;
  m_ownEpochs.insert(m_epoch);
  if (m_listener != nullptr) {
    m_listener->OnSessionOpened(aContext, m_epoch);
  }
}

void SessionKeeper::Lose(CoreContext& aContext)
{
  m_open = false;
  aContext.m_actions.emplace_back(
    LogNote{ "grants",
             "the session of epoch " + std::to_string(m_epoch) + " was ended",
             true });
  if (m_listener != nullptr) {
    m_listener->OnSessionLost(aContext, m_epoch);
  }
}

void SessionKeeper::Retry(CoreContext& aContext)
{
  ++m_failures;
  m_nextStep =
    aContext.m_now + BackoffDelay(aContext.m_random,
                                  kFirstRetry,
                                  aContext.m_settings.m_sessionPeriod,
                                  m_failures);
}

void SessionKeeper::FinishClose(CoreContext& aContext)
{
  m_open = false;
  m_closed = true;
  if (m_closeDone) {
    const auto done = std::move(m_closeDone);
    m_closeDone = nullptr;
    done(aContext);
  }
}

} // namespace lycheestep
