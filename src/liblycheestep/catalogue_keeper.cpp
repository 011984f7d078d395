#include "catalogue_keeper.h"

#include <cstdio>
#include <utility>
#include <vector>

#include "backoff.h"
#include "catalogue_codec.h"
#include "lycheestep/scheduler_error.h"
#include "peer.pb.h"
#include "peer_directory.h"
#include "rows.pb.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

const std::string kCurrentKey = "catalogue/current";
const std::string kBodyKey = "catalogue/body";
const std::string kHistoryPrefix = "catalogue/history/";

// Accepted changes that the history keeps.
constexpr std::uint64_t kHistoryKept = 1000;

// Former versions kept in memory to make deltas for peers.
constexpr std::size_t kPastKept = 8;

// A longer delta is left out of the row that every host polls.
constexpr std::size_t kLongestRowDelta = 4096;

// Writes and reads tried before an operator is told that the effect is not
// known.
constexpr int kApplyTries = 8;

// The same version is not asked for again within this time.
constexpr Duration kAskAgain = std::chrono::seconds(1);

// So that the names of the rows stand in the order of the versions.
std::string HistoryKey(std::uint64_t aVersion)
{
  char digits[32];
  std::snprintf(digits,
                sizeof(digits),
                "%020llu",
                static_cast<unsigned long long>(aVersion));
  return kHistoryPrefix + digits;
}

const TableRow* FindRow(const TableAnswer& aAnswer, const std::string& aKey)
{
  for (const TableRow& row : aAnswer.m_rows) {
    if (row.m_key == aKey && row.m_version != 0) {
      return &row;
    }
  }
  return nullptr;
}

} // namespace

CatalogueKeeper::CatalogueKeeper(TableCalls& aTable, PeerDirectory& aPeers)
  : m_table(aTable)
  , m_peers(aPeers)
{
}

void CatalogueKeeper::Tick(CoreContext& aContext)
{
  if (m_polling || aContext.m_now < m_nextPoll) {
    return;
  }
  m_polling = true;
  m_nextPoll = aContext.m_now + Jittered(aContext.m_random,
                                         aContext.m_settings.m_cataloguePeriod);
  Read(aContext, false, [this](CoreContext&, bool) { m_polling = false; });
}

void CatalogueKeeper::Read(CoreContext& aContext,
                           bool aWithBody,
                           ReadDone aDone)
{
  std::vector<std::string> keys{ kCurrentKey };
  if (aWithBody) {
    keys.push_back(kBodyKey);
  }
  m_table.Read(aContext,
               { keys, {} },
               [this, aWithBody, done = std::move(aDone)](
                 CoreContext& aInner, const TableAnswer& aAnswer) {
                 if (aAnswer.m_status != TableStatus::kOk) {
                   done(aInner, false);
                 } else if (TakeRows(aInner, aAnswer) || aWithBody) {
                   done(aInner, true);
                 } else {
                   Read(aInner, true, done);
                 }
               });
}

bool CatalogueKeeper::TakeRows(CoreContext& aContext,
                               const TableAnswer& aAnswer)
{
  const TableRow* current = FindRow(aAnswer, kCurrentKey);
  if (current == nullptr) {
    return true;
  }
  m_rowVersion = current->m_version;
  if (const TableRow* body = FindRow(aAnswer, kBodyKey)) {
    return TakeBody(aContext, body->m_value);
  }
  return TakeDelta(aContext, current->m_value);
}

bool CatalogueKeeper::TakeDelta(CoreContext& aContext,
                                const std::string& aCurrentRow)
{
  proto::CatalogueRow row;
  if (!row.ParseFromString(aCurrentRow)) {
    return false;
  }
  if (row.version() <= Version()) {
    return true;
  }
  if (!m_current || row.version() != Version() + 1) {
    return false;
  }
  auto next = ApplyDelta(*m_current, row.delta());
  if (!next || DigestOf(EncodeCatalogue(*next)) != row.digest()) {
    return false;
  }
  return PutInForce(aContext, std::move(next));
}

bool CatalogueKeeper::TakeBody(CoreContext& aContext,
                               const std::string& aBodyRow)
{
  proto::CatalogueRow row;
  if (!row.ParseFromString(aBodyRow) || DigestOf(row.body()) != row.digest()) {
    return false;
  }
  auto catalogue = DecodeCatalogue(row.body());
  return catalogue && PutInForce(aContext, std::move(catalogue));
}

bool CatalogueKeeper::PutInForce(CoreContext& aContext,
                                 std::shared_ptr<const Catalogue> aCatalogue)
{
  if (aCatalogue->m_version <= Version()) {
    return true;
  }
  if (m_current) {
    m_past[m_current->m_version] = m_current;
  }
  while (m_past.size() > kPastKept) {
    m_past.erase(m_past.begin());
  }
  m_current = std::move(aCatalogue);
  aContext.m_actions.emplace_back(
    LogNote{ "catalogue",
             "version " + std::to_string(Version()) + " is in force",
             false });
  if (m_listener != nullptr) {
    m_listener->OnCatalogue(aContext, m_current);
  }
  return true;
}

OperatorReply CatalogueKeeper::Reply() const
{
  OperatorReply reply;
  reply.m_version = Version();
  reply.m_catalogue = m_current;
  return reply;
}

void CatalogueKeeper::Apply(CoreContext& aContext,
                            const OperatorCommand& aCommand,
                            OperatorContinuation aContinue)
{
  auto change = std::make_shared<Change>();
  change->m_command = aCommand;
  change->m_continue = std::move(aContinue);
  change->m_triesLeft = kApplyTries;
  auto next = std::make_shared<Catalogue>(*aCommand.m_catalogue);
  next->m_version = aCommand.m_baseVersion + 1;
  change->m_digested = EncodeCatalogue(*next);
  change->m_next = std::move(next);
  ResolveChange(aContext, change);
}

void CatalogueKeeper::ResolveChange(CoreContext& aContext,
                                    const ChangePointer& aChange)
{
  if (aChange->m_triesLeft-- == 0) {
    OperatorReply reply = Reply();
    reply.m_error = SchedulerError::kPlatformUnreachable;
    reply.m_unknown = aChange->m_sent;
    reply.m_detail = aChange->m_sent
                       ? "The table did not say whether the change was made."
                       : "The table can't be reached; nothing was changed.";
    aChange->m_continue(aContext, reply);
    return;
  }
  Read(aContext, false, [this, aChange](CoreContext& aInner, bool aReached) {
    if (!aReached) {
      ResolveChange(aInner, aChange);
      return;
    }
    const std::uint64_t base = aChange->m_command.m_baseVersion;
    if (Version() == base) {
      WriteChange(aInner, aChange);
    } else if (aChange->m_sent && Version() > base) {
      CheckHistory(aInner, aChange);
    } else {
      Conflict(aInner, *aChange);
    }
  });
}

void CatalogueKeeper::WriteChange(CoreContext& aContext,
                                  const ChangePointer& aChange)
{
  if (m_current) {
    Catalogue same = *aChange->m_next;
    same.m_version = Version();
    if (EncodeCatalogue(same) == EncodeCatalogue(*m_current)) {
      OperatorReply reply = Reply();
      reply.m_detail = "Nothing changed.";
      aChange->m_continue(aContext, reply);
      return;
    }
  }
  aChange->m_sent = true;
  m_table.Transact(
    aContext,
    TransactionOf(*aChange),
    [this, aChange](CoreContext& aInner, const TableAnswer& aAnswer) {
      HandleWritten(aInner, aChange, aAnswer.m_status);
    });
}

TableTransaction CatalogueKeeper::TransactionOf(const Change& aChange) const
{
  proto::CatalogueRow row;
  row.set_version(aChange.m_next->m_version);
  row.set_digest(DigestOf(aChange.m_digested));
  row.set_operator_name(aChange.m_command.m_operator);
  row.set_message(aChange.m_command.m_message);
  const std::string history = row.SerializeAsString();
  proto::CatalogueRow body;
  body.set_version(row.version());
  body.set_digest(row.digest());
  body.set_body(aChange.m_digested);
  if (m_current) {
    const std::string delta = EncodeDelta(*m_current, *aChange.m_next);
    if (delta.size() <= kLongestRowDelta) {
      row.set_delta(delta);
    }
  }
  TableTransaction transaction;
  transaction.m_conditions.push_back({ kCurrentKey, m_rowVersion });
  transaction.m_writes.push_back(
    { kCurrentKey, row.SerializeAsString(), false });
  transaction.m_writes.push_back({ kBodyKey, body.SerializeAsString(), false });
  transaction.m_writes.push_back({ HistoryKey(row.version()), history, false });
  if (row.version() > kHistoryKept) {
    transaction.m_writes.push_back(
      { HistoryKey(row.version() - kHistoryKept), "", true });
  }
  return transaction;
}

void CatalogueKeeper::HandleWritten(CoreContext& aContext,
                                    const ChangePointer& aChange,
                                    TableStatus aStatus)
{
  switch (aStatus) {
    case TableStatus::kOk:
      Accepted(aContext, *aChange);
      return;
    case TableStatus::kConflict:
    case TableStatus::kNotSent:
    case TableStatus::kUnknown:
      // Reading tells: another's change, an earlier try of this one, or none.
      ResolveChange(aContext, aChange);
      return;
  }
}

void CatalogueKeeper::CheckHistory(CoreContext& aContext,
                                   const ChangePointer& aChange)
{
  const std::string key = HistoryKey(aChange->m_next->m_version);
  m_table.Read(
    aContext,
    { { key }, {} },
    [this, aChange, key](CoreContext& aInner, const TableAnswer& aAnswer) {
      if (aAnswer.m_status != TableStatus::kOk) {
        ResolveChange(aInner, aChange);
        return;
      }
      proto::CatalogueRow row;
      const TableRow* found = FindRow(aAnswer, key);
      const bool ours = found != nullptr &&
                        row.ParseFromString(found->m_value) &&
                        row.digest() == DigestOf(aChange->m_digested) &&
                        row.operator_name() == aChange->m_command.m_operator &&
                        row.message() == aChange->m_command.m_message;
      if (ours) {
        Accepted(aInner, *aChange);
      } else {
        Conflict(aInner, *aChange);
      }
    });
}

void CatalogueKeeper::Accepted(CoreContext& aContext, const Change& aChange)
{
  PutInForce(aContext, aChange.m_next);
  proto::PeerMessage message;
  message.mutable_catalogue_offer()->set_version(Version());
  m_peers.SendToAll(aContext, message);
  OperatorReply reply = Reply();
  reply.m_detail =
    "Version " + std::to_string(aChange.m_next->m_version) + " is in force.";
  aChange.m_continue(aContext, reply);
}

void CatalogueKeeper::Conflict(CoreContext& aContext, const Change& aChange)
{
  OperatorReply reply = Reply();
  reply.m_error = SchedulerError::kVersionConflict;
  reply.m_detail = "The catalogue is at version " + std::to_string(Version()) +
                   ", the change was made against version " +
                   std::to_string(aChange.m_command.m_baseVersion) + ".";
  aChange.m_continue(aContext, reply);
}

void CatalogueKeeper::History(CoreContext& aContext,
                              OperatorContinuation aContinue)
{
  m_table.Read(
    aContext,
    { {}, { kHistoryPrefix } },
    [this, next = std::move(aContinue)](CoreContext& aInner,
                                        const TableAnswer& aAnswer) {
      OperatorReply reply = Reply();
      if (aAnswer.m_status != TableStatus::kOk) {
        reply.m_error = SchedulerError::kPlatformUnreachable;
        reply.m_detail = "The table can't be reached.";
      }
      for (auto row = aAnswer.m_rows.rbegin(); row != aAnswer.m_rows.rend();
           ++row) {
        proto::CatalogueRow change;
        if (change.ParseFromString(row->m_value)) {
          reply.m_history.push_back(
            { change.version(), change.operator_name(), change.message() });
        }
      }
      next(aInner, reply);
    });
}

void CatalogueKeeper::HandlePeerVersion(CoreContext& aContext,
                                        const EntryId& aFrom,
                                        std::uint64_t aVersion)
{
  const bool asked =
    aVersion <= m_askedVersion && aContext.m_now - m_askedAt < kAskAgain;
  if (aVersion <= Version() || asked) {
    return;
  }
  m_askedVersion = aVersion;
  m_askedAt = aContext.m_now;
  AskPeer(aContext, aFrom, Version());
}

void CatalogueKeeper::AskPeer(CoreContext& aContext,
                              const EntryId& aPeer,
                              std::uint64_t aHaveVersion)
{
  proto::PeerMessage message;
  message.mutable_catalogue_request()->set_have_version(aHaveVersion);
  m_peers.Send(aContext, aPeer, std::move(message));
}

void CatalogueKeeper::HandleRequest(CoreContext& aContext,
                                    const EntryId& aFrom,
                                    std::uint64_t aHaveVersion)
{
  if (aHaveVersion >= Version()) {
    return;
  }
  const std::string whole = EncodeCatalogue(*m_current);
  proto::PeerMessage message;
  proto::CatalogueTransfer* transfer = message.mutable_catalogue_transfer();
  transfer->set_version(Version());
  transfer->set_digest(DigestOf(whole));
  auto past = m_past.find(aHaveVersion);
  const std::string delta =
    past == m_past.end() ? "" : EncodeDelta(*past->second, *m_current);
  if (delta.empty()) {
    transfer->set_body(whole);
  } else {
    transfer->set_base_version(aHaveVersion);
    transfer->set_body(delta);
  }
  m_peers.Send(aContext, aFrom, std::move(message));
}

void CatalogueKeeper::HandleTransfer(CoreContext& aContext,
                                     const EntryId& aFrom,
                                     const proto::CatalogueTransfer& aTransfer)
{
  if (aTransfer.version() <= Version()) {
    return;
  }
  const bool whole = aTransfer.base_version() == 0;
  std::shared_ptr<const Catalogue> next;
  if (whole) {
    next = DecodeCatalogue(aTransfer.body());
  } else if (aTransfer.base_version() == Version()) {
    next = ApplyDelta(*m_current, aTransfer.body());
  }
  const bool right = next && next->m_version == aTransfer.version() &&
                     DigestOf(EncodeCatalogue(*next)) == aTransfer.digest();
  if (right) {
    PutInForce(aContext, std::move(next));
  } else if (!whole) {
    AskPeer(aContext, aFrom, 0);
  }
}

} // namespace lycheestep
