#include "grant_book.h"

#include <algorithm>
#include <utility>

#include "attempt_name.h"
#include "backoff.h"
#include "fleet.h"
#include "peer.pb.h"
#include "peer_directory.h"
#include "rack_shares.h"
#include "session_keeper.h"
#include "session_watch.h"
#include "table_calls.h"

namespace lycheestep {

namespace {

constexpr Duration kFirstRetry = std::chrono::milliseconds(250);
constexpr Duration kMostRetry = std::chrono::seconds(4);

// Time between looks at the shares when nothing happens, and the time after
// which rows are read again without a reason.
constexpr Duration kPlanPeriod = std::chrono::seconds(2);
constexpr Duration kReadPeriod = std::chrono::seconds(30);

// Time between requests for room to peers, and from such a request to the
// read that finds what came of it.
constexpr Duration kAskPeriod = std::chrono::milliseconds(500);
constexpr Duration kAskReadDelay = std::chrono::milliseconds(150);

// A peer's request for room is served for this long.
constexpr Duration kPeerWantTerm = std::chrono::seconds(1);

// A host keeps at least this part of its even share when peers ask for room.
constexpr std::int64_t kKeptPart = 4;

std::string PrefixOf(const SchedulerSettings& aSettings)
{
  return "rack/" + aSettings.m_dataCentre.Text() + "/";
}

} // namespace

GrantBook::GrantBook(TableCalls& aTable,
                     SessionKeeper& aSession,
                     SessionWatch& aWatch,
                     PeerDirectory& aPeers,
                     Fleet& aFleet,
                     TracksAttempt aTracks)
  : m_table(aTable)
  , m_session(aSession)
  , m_watch(aWatch)
  , m_peers(aPeers)
  , m_fleet(aFleet)
  , m_tracks(std::move(aTracks))
{
}

void GrantBook::Tick(CoreContext& aContext)
{
  m_self = aContext.m_settings.m_entry;
  if (m_epoch != m_session.Epoch() || m_mainUntil != m_session.MainUntil()) {
    HandleSessionChanged(aContext);
  }
  if (!m_reading && aContext.m_now >= m_nextRead) {
    ReadRacks(aContext);
  }
  if (aContext.m_now >= m_nextPlan) {
    m_nextPlan = aContext.m_now + Jittered(aContext.m_random, kPlanPeriod);
    PlanAll(aContext);
    AskPeers(aContext);
  }
}

TimePoint GrantBook::NextWakeup() const
{
  return m_reading ? m_nextPlan : std::min(m_nextPlan, m_nextRead);
}

void GrantBook::PlanSoon(TimePoint aWhen)
{
  m_nextPlan = std::min(m_nextPlan, aWhen);
}

void GrantBook::HandleFleetChanged(CoreContext& aContext)
{
  UpdateFleet();
  PlanSoon(aContext.m_now);
}

void GrantBook::HandleSessionChanged(CoreContext& aContext)
{
  const bool opened = m_epoch != m_session.Epoch();
  m_epoch = m_session.Epoch();
  m_mainUntil = m_session.MainUntil();
  UpdateFleet();
  if (opened) {
    m_nextRead = aContext.m_now;
    m_known = false;
  }
}

void GrantBook::HandlePeerSessionEnded(CoreContext& aContext)
{
  m_nextRead = std::min(m_nextRead, aContext.m_now);
}

void GrantBook::SetDemand(const Resources& aWanted,
                          const Resources& aLargestTask)
{
  const bool rose = m_wanted.IsZero() && !aWanted.IsZero();
  m_wanted = aWanted;
  m_largestTask = aLargestTask;
  if (rose) {
    m_nextPlan = std::min(m_nextPlan, m_nextAsk);
  }
}

void GrantBook::HandleShareRequest(CoreContext& aContext,
                                   const EntryId& aFrom,
                                   const proto::ShareRequest& aRequest)
{
  PeerWant& want = m_peerWants[aFrom];
  want.m_wanted = NotNegative(FromProto(aRequest.wanted()));
  want.m_largest = NotNegative(FromProto(aRequest.largest_task()));
  want.m_until = aContext.m_now + kPeerWantTerm;
  PlanSoon(aContext.m_now);
}

void GrantBook::ReleaseAll(CoreContext& aContext,
                           std::function<void(CoreContext&)> aDone)
{
  m_releasing = true;
  m_releaseDone = std::move(aDone);
  PlanSoon(aContext.m_now);
}

void GrantBook::ReadRacks(CoreContext& aContext)
{
  m_reading = true;
  m_table.Read(aContext,
               { {}, { PrefixOf(aContext.m_settings) } },
               [this](CoreContext& aInner, const TableAnswer& aAnswer) {
                 m_reading = false;
                 HandleRacks(aInner, aAnswer);
               });
}

void GrantBook::HandleRacks(CoreContext& aContext, const TableAnswer& aAnswer)
{
  if (aAnswer.m_status != TableStatus::kOk) {
    ++m_failures;
    m_nextRead =
      aContext.m_now +
      BackoffDelay(aContext.m_random, kFirstRetry, kMostRetry, m_failures);
    return;
  }
  m_failures = 0;
  m_nextRead = aContext.m_now + Jittered(aContext.m_random, kReadPeriod);
  for (const TableRow& row : aAnswer.m_rows) {
    TakeRow(row);
  }
  m_known = true;
  UpdateFleet();
  PlanSoon(aContext.m_now);
}

void GrantBook::TakeRow(const TableRow& aRow)
{
  Rack& rack = m_racks[aRow.m_key];
  // The answer of the write under way tells more than this older read.
  if (rack.m_writing || aRow.m_version <= rack.m_version) {
    return;
  }
  proto::RackRow row;
  if (!row.ParseFromString(aRow.m_value)) {
    return;
  }
  rack.m_row = std::move(row);
  rack.m_version = aRow.m_version;
  rack.m_pending.clear();
  rack.m_unsettled = false;
}

bool GrantBook::MayPlan(TimePoint aNow) const
{
  return m_known && m_watch.IsKnown() && m_session.Epoch() != 0 &&
         aNow < m_session.MainUntil();
}

void GrantBook::PlanAll(CoreContext& aContext)
{
  if (!MayPlan(aContext.m_now)) {
    return;
  }
  std::map<std::string, std::vector<const FleetTarget*>> byRack;
  for (const auto& [key, rack] : m_racks) {
    byRack[key];
  }
  const std::string prefix = PrefixOf(aContext.m_settings);
  for (const FleetTarget& target : m_fleet.Targets()) {
    byRack[prefix + target.m_listing.m_rack.Text()].push_back(&target);
  }
  for (const auto& [key, targets] : byRack) {
    PlanRack(aContext, key, targets);
  }
  if (m_releasing && HoldsNothing() && m_releaseDone) {
    const auto done = std::move(m_releaseDone);
    m_releaseDone = nullptr;
    done(aContext);
  }
}

void GrantBook::PlanRack(CoreContext& aContext,
                         const std::string& aKey,
                         const std::vector<const FleetTarget*>& aTargets)
{
  Rack& rack = m_racks[aKey];
  if (rack.m_writing || aContext.m_now < rack.m_notBefore) {
    return;
  }
  m_givenInPlan = Resources();
  proto::RackRow next = rack.m_row;
  bool changed = DropGone(aContext, next);
  for (const FleetTarget* target : aTargets) {
    proto::TargetShares& shares = SharesOf(next, target->m_listing.m_id);
    changed = PlanTarget({ aContext, *target, shares }) || changed;
  }
  // A lost write may still take effect; another write rules that out.
  if (changed || rack.m_unsettled) {
    WriteRack(aContext, aKey, std::move(next));
  }
}

void GrantBook::WriteRack(CoreContext& aContext,
                          const std::string& aKey,
                          proto::RackRow aNext)
{
  Rack& rack = m_racks[aKey];
  TableTransaction transaction;
  transaction.m_conditions.push_back({ aKey, rack.m_version });
  transaction.m_writes.push_back({ aKey, aNext.SerializeAsString(), false });
  rack.m_writing = true;
  rack.m_pending.push_back(std::move(aNext));
  ++m_writesSent;
  // What the write gives away must not be used from now on.
  UpdateFleet();
  m_table.Transact(
    aContext,
    std::move(transaction),
    [this, aKey](CoreContext& aInner, const TableAnswer& aAnswer) {
      HandleWritten(aInner, aKey, aAnswer);
    });
}

void GrantBook::HandleWritten(CoreContext& aContext,
                              const std::string& aKey,
                              const TableAnswer& aAnswer)
{
  Rack& rack = m_racks[aKey];
  rack.m_writing = false;
  const TimePoint soon =
    aContext.m_now + Jittered(aContext.m_random, kFirstRetry);
  switch (aAnswer.m_status) {
    case TableStatus::kOk:
      rack.m_row = std::move(rack.m_pending.back());
      rack.m_version = aAnswer.m_rows.front().m_version;
      rack.m_pending.clear();
      rack.m_unsettled = false;
      break;
    case TableStatus::kConflict:
      // The row is at another version, so no earlier write can take effect.
      rack.m_pending.clear();
      rack.m_unsettled = false;
      for (const TableRow& row : aAnswer.m_rows) {
        TakeRow(row);
      }
      PlanSoon(soon);
      break;
    case TableStatus::kNotSent:
      rack.m_pending.pop_back();
      rack.m_notBefore =
        aContext.m_now + Jittered(aContext.m_random, kMostRetry);
      break;
    case TableStatus::kUnknown:
      rack.m_unsettled = true;
      rack.m_notBefore =
        aContext.m_now + Jittered(aContext.m_random, kMostRetry);
      m_nextRead = std::min(m_nextRead, soon);
      break;
  }
  UpdateFleet();
}

Resources GrantBook::FairShare() const
{
  const auto hosts = static_cast<std::int64_t>(
    std::max<std::size_t>(1, m_watch.LiveEntries().size()));
  return m_fleet.TotalCapacity().Scaled(1, hosts);
}

Resources GrantBook::KeptShare() const
{
  return FairShare().Scaled(1, kKeptPart);
}

Resources GrantBook::Held() const
{
  Resources held;
  for (const FleetTarget& target : m_fleet.Targets()) {
    held += target.m_grant.m_main + target.m_grant.m_reserve;
  }
  return held;
}

Resources GrantBook::Missing(TimePoint aNow) const
{
  Resources missing;
  if (!m_wanted.IsZero()) {
    missing = NotNegative(m_wanted - m_fleet.TotalFree(aNow));
    if (!m_largestTask.FitsIn(m_fleet.LargestFree(aNow))) {
      missing = Resources::Max(missing, m_largestTask);
    }
  }
  // A new host asks for its even share before any demand shows. Others never
  // push it below this, so nobody asks back what it gave.
  const Resources least = KeptShare();
  const Resources held = Held();
  if (!least.FitsIn(held)) {
    missing = Resources::Max(missing, NotNegative(FairShare() - held));
  }
  return missing;
}

void GrantBook::AskPeers(CoreContext& aContext)
{
  const TimePoint now = aContext.m_now;
  if (m_releasing || now < m_nextAsk || !MayPlan(now)) {
    return;
  }
  const Resources missing = Missing(now);
  if (missing.IsZero()) {
    return;
  }
  m_nextAsk = now + Jittered(aContext.m_random, kAskPeriod);
  PlanSoon(m_nextAsk);
  const PeerEntry* richest = nullptr;
  for (const EntryId& id : m_peers.AliveHere(now)) {
    const PeerEntry* peer = m_peers.Find(id);
    const Resources& free = peer->m_load.m_free;
    const bool fits = m_largestTask.FitsIn(peer->m_load.m_largestFree);
    const bool some = !Resources::Min(missing, NotNegative(free)).IsZero();
    const auto slots = [](const PeerEntry& aPeer) {
      return aPeer.m_load.m_free.Get(ResourceKind::kProcessors);
    };
    if (fits && some &&
        (richest == nullptr || slots(*peer) > slots(*richest))) {
      richest = peer;
    }
  }
  if (richest == nullptr) {
    return;
  }
  proto::PeerMessage message;
  proto::ShareRequest* request = message.mutable_share_request();
  ToProto(missing, request->mutable_wanted());
  ToProto(m_largestTask, request->mutable_largest_task());
  m_peers.Send(aContext, richest->m_id, std::move(message));
  m_nextRead = std::min(m_nextRead, now + kAskReadDelay);
}

void GrantBook::HandleTargetReported(CoreContext& aContext,
                                     const TargetReport& aReport)
{
  auto found = m_taken.find(aReport.m_target);
  if (found == m_taken.end() || !aReport.m_reached ||
      aContext.m_now - aReport.m_latency < found->second.m_at) {
    return;
  }
  Resources running;
  for (const TaskReport& task : aReport.m_tasks) {
    const AttemptOwner owner = OwnerOf(task.m_attempt);
    const bool counted =
      m_tracks(task.m_attempt) || m_watch.IsLive(owner.m_entry, owner.m_epoch);
    if (task.m_state == AttemptState::kRunning && !counted) {
      running += task.m_demand;
    }
  }
  if (running.IsZero()) {
    m_taken.erase(found);
  } else {
    found->second.m_reported = true;
    found->second.m_running = running;
  }
  UpdateFleet();
}

void GrantBook::UpdateFleet()
{
  std::vector<TargetId> ids;
  for (const FleetTarget& target : m_fleet.Targets()) {
    ids.push_back(target.m_listing.m_id);
  }
  for (const TargetId& id : ids) {
    Grant& grant = m_fleet.Find(id)->m_grant;
    grant = Grant();
    grant.m_mainUntil = m_session.MainUntil();
    grant.m_reserveUntil = m_session.ReserveUntil();
  }
  for (const auto& [key, rack] : m_racks) {
    for (const proto::TargetShares& shares : rack.m_row.targets()) {
      const TargetId id(shares.target());
      FleetTarget* target = m_fleet.Find(id);
      const proto::Share* own = FindShare(
        rack.m_row, shares.target(), m_self.Text(), m_session.Epoch());
      if (target == nullptr || own == nullptr) {
        continue;
      }
      Resources main = MainOf(*own);
      Resources reserve = ReserveOf(*own);
      for (const proto::RackRow& pending : rack.m_pending) {
        const proto::Share* next =
          FindShare(pending, shares.target(), m_self.Text(), m_session.Epoch());
        main = Resources::Min(main, next ? MainOf(*next) : Resources());
        reserve =
          Resources::Min(reserve, next ? ReserveOf(*next) : Resources());
      }
      const Resources blocked = Blocked(id);
      const Resources fromMain = Resources::Min(main, blocked);
      target->m_grant.m_main = main - fromMain;
      target->m_grant.m_reserve = NotNegative(reserve - (blocked - fromMain));
    }
  }
}

bool GrantBook::HoldsNothing() const
{
  for (const auto& [key, rack] : m_racks) {
    if (rack.m_writing || rack.m_unsettled) {
      return false;
    }
    for (const proto::TargetShares& shares : rack.m_row.targets()) {
      for (const proto::Share& share : shares.shares()) {
        if (share.entry() == m_self.Text() &&
            m_session.WasOurs(share.epoch())) {
          return false;
        }
      }
    }
  }
  return true;
}

} // namespace lycheestep
