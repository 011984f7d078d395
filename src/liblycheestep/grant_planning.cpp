// The part of GrantBook that plans the shares of one target, and drops those of
// targets that are gone.
#include <algorithm>
#include <string>

#include <xxhash.h>

#include "fleet.h"
#include "grant_book.h"
#include "peer.pb.h"
#include "peer_directory.h"
#include "rack_shares.h"
#include "session_keeper.h"
#include "session_watch.h"

namespace lycheestep {

namespace {

// The hosts rank themselves for each free target; every rank waits this much
// longer, so that they don't write the same row at once.
constexpr Duration kRankDelay = std::chrono::milliseconds(500);

std::uint64_t RankHash(const EntryId& aEntry, const TargetId& aTarget)
{
  const std::string text = aEntry.Text() + "\n" + aTarget.Text();
  return XXH64(text.data(), text.size(), 0);
}

} // namespace

bool GrantBook::PlanTarget(const Plan& aPlan)
{
  bool changed = MoveOwnOldShares(aPlan);
  if (m_releasing) {
    changed = ReleaseFree(aPlan) || changed;
  } else {
    changed = TakeDeadShares(aPlan) || changed;
    changed = GiveToPeers(aPlan) || changed;
    changed = ClaimFree(aPlan) || changed;
  }
  if (changed) {
    ToProto(aPlan.m_target.m_listing.m_capacity,
            aPlan.m_shares.mutable_capacity());
    DropEmptyShares(aPlan.m_shares);
  }
  return changed;
}

bool GrantBook::MoveOwnOldShares(const Plan& aPlan) const
{
  bool changed = false;
  const std::uint64_t epoch = m_session.Epoch();
  for (int i = 0; i < aPlan.m_shares.shares_size(); ++i) {
    proto::Share& share = *aPlan.m_shares.mutable_shares(i);
    const bool ours = share.entry() == m_self.Text() &&
                      share.epoch() != epoch &&
                      m_session.WasOurs(share.epoch());
    const Resources main = MainOf(share);
    const Resources reserve = ReserveOf(share);
    if (!ours || (main + reserve).IsZero()) {
      continue;
    }
    SetParts(share, Resources(), Resources());
    AddShare(aPlan.m_shares, m_self.Text(), epoch, main, reserve);
    changed = true;
  }
  return changed;
}

bool GrantBook::TakeDeadShares(const Plan& aPlan)
{
  if (!aPlan.m_target.TakesWork()) {
    return false;
  }
  bool changed = false;
  const int count = aPlan.m_shares.shares_size();
  for (int i = 0; i < count; ++i) {
    const std::string& entry = aPlan.m_shares.shares(i).entry();
    const std::uint64_t epoch = aPlan.m_shares.shares(i).epoch();
    if (entry == m_self.Text() && m_session.WasOurs(epoch)) {
      continue;
    }
    TimePoint since;
    if (!m_watch.IsEnded(EntryId(entry), epoch, &since)) {
      continue;
    }
    const SchedulerSettings& settings = aPlan.m_context.m_settings;
    const Duration rank = kRankDelay * static_cast<Duration::rep>(
                                         RankOf(aPlan.m_target.m_listing.m_id));
    const TimePoint now = aPlan.m_context.m_now;
    const TimePoint ended = since + settings.m_termMargin + rank;
    for (const bool reserve : { false, true }) {
      const Duration term =
        reserve ? settings.m_reserveTerm : settings.m_mainTerm;
      if (now >= ended + term) {
        // Taking adds a share, which may move the others in memory.
        proto::Share& share = *aPlan.m_shares.mutable_shares(i);
        changed = TakePart(aPlan, share, reserve) || changed;
      } else {
        PlanSoon(ended + term);
      }
    }
  }
  return changed;
}

bool GrantBook::TakePart(const Plan& aPlan, proto::Share& aShare, bool aReserve)
{
  const Resources main = aReserve ? Resources() : MainOf(aShare);
  const Resources reserve = aReserve ? ReserveOf(aShare) : Resources();
  if ((main + reserve).IsZero()) {
    return false;
  }
  SetParts(aShare, MainOf(aShare) - main, ReserveOf(aShare) - reserve);
  AddShare(aPlan.m_shares, m_self.Text(), m_session.Epoch(), main, reserve);
  // The dead host can start nothing any more from now on, so a report that is
  // asked for after this moment shows all that it still runs.
  const TargetId& target = aPlan.m_target.m_listing.m_id;
  Taken& taken = m_taken[target];
  taken.m_at = aPlan.m_context.m_now;
  taken.m_amount += main + reserve;
  taken.m_reported = false;
  if (m_askTarget) {
    m_askTarget(aPlan.m_context, target);
  }
  return true;
}

Resources GrantBook::Blocked(const TargetId& aTarget) const
{
  auto found = m_taken.find(aTarget);
  if (found == m_taken.end()) {
    return {};
  }
  return found->second.m_reported ? found->second.m_running
                                  : found->second.m_amount;
}

proto::Share* GrantBook::OwnShare(proto::TargetShares& aShares) const
{
  for (proto::Share& share : *aShares.mutable_shares()) {
    if (share.entry() == m_self.Text() && share.epoch() == m_session.Epoch()) {
      return &share;
    }
  }
  return nullptr;
}

void GrantBook::Spare(const Plan& aPlan,
                      Resources* aMain,
                      Resources* aReserve) const
{
  const proto::Share* own = OwnShare(aPlan.m_shares);
  if (own == nullptr) {
    return;
  }
  const Resources main = MainOf(*own);
  const Resources reserve = ReserveOf(*own);
  const Resources busy =
    aPlan.m_target.m_used + Blocked(aPlan.m_target.m_listing.m_id);
  if (busy.IsZero() && aPlan.m_target.m_tasks == 0) {
    *aMain = main;
    *aReserve = reserve;
    return;
  }
  // What is in use stays covered by what remains.
  *aMain = Resources::Min(main, NotNegative(main + reserve - busy));
}

bool GrantBook::ReleaseFree(const Plan& aPlan)
{
  Resources main;
  Resources reserve;
  Spare(aPlan, &main, &reserve);
  proto::Share* own = OwnShare(aPlan.m_shares);
  if (own == nullptr || (main + reserve).IsZero()) {
    return false;
  }
  SetParts(*own, MainOf(*own) - main, ReserveOf(*own) - reserve);
  return true;
}

bool GrantBook::GiveToPeers(const Plan& aPlan)
{
  if (m_peerWants.empty()) {
    return false;
  }
  Resources main;
  Resources reserve;
  Spare(aPlan, &main, &reserve);
  if ((main + reserve).IsZero()) {
    return false;
  }
  const Resources given = main + reserve;
  // Every host keeps a part, so that it can serve when it is cut off, and its
  // even share while work of its own waits.
  const Resources least = m_wanted.IsZero() ? KeptShare() : FairShare();
  if (!(least + m_givenInPlan + given).FitsIn(Held())) {
    return false;
  }
  const TimePoint now = aPlan.m_context.m_now;
  for (auto& [peer, want] : m_peerWants) {
    const Resources& wanted = want.m_wanted;
    const bool useful =
      !Resources::Min(wanted, given).IsZero() && want.m_largest.FitsIn(given);
    if (now >= want.m_until || wanted.IsZero() || !useful) {
      continue;
    }
    const std::uint64_t epoch = m_watch.LiveEpoch(peer);
    proto::Share* own = OwnShare(aPlan.m_shares);
    if (epoch == 0 || own == nullptr) {
      continue;
    }
    SetParts(*own, MainOf(*own) - main, ReserveOf(*own) - reserve);
    AddShare(aPlan.m_shares, peer.Text(), epoch, main, reserve);
    want.m_wanted = NotNegative(wanted - given);
    m_givenInPlan += given;
    return true;
  }
  return false;
}

std::size_t GrantBook::RankOf(const TargetId& aTarget) const
{
  const std::uint64_t own = RankHash(m_self, aTarget);
  std::size_t rank = 0;
  for (const EntryId& entry : m_watch.LiveEntries()) {
    if (entry != m_self && RankHash(entry, aTarget) > own) {
      ++rank;
    }
  }
  return rank;
}

bool GrantBook::ClaimFree(const Plan& aPlan)
{
  const TargetListing& listing = aPlan.m_target.m_listing;
  const Resources free =
    NotNegative(listing.m_capacity - SumOf(aPlan.m_shares));
  if (free.IsZero() || !aPlan.m_target.TakesWork()) {
    m_unownedSince.erase(listing.m_id);
    return false;
  }
  const TimePoint now = aPlan.m_context.m_now;
  const TimePoint since =
    m_unownedSince.emplace(listing.m_id, now).first->second;
  const TimePoint due =
    since + kRankDelay * static_cast<Duration::rep>(RankOf(listing.m_id));
  if (now < due) {
    PlanSoon(due);
    return false;
  }
  Resources reserved;
  for (const proto::Share& share : aPlan.m_shares.shares()) {
    reserved += ReserveOf(share);
  }
  const Resources reserveOfTarget =
    listing.m_capacity.Scaled(aPlan.m_context.m_settings.m_reservePercent, 100);
  const Resources reserve =
    Resources::Min(free, NotNegative(reserveOfTarget - reserved));
  AddShare(
    aPlan.m_shares, m_self.Text(), m_session.Epoch(), free - reserve, reserve);
  m_unownedSince.erase(listing.m_id);
  return true;
}

bool GrantBook::DropGone(CoreContext& aContext, proto::RackRow& aRow) const
{
  bool changed = false;
  const Duration wait =
    aContext.m_settings.m_reserveTerm + aContext.m_settings.m_termMargin;
  for (int i = aRow.targets_size() - 1; i >= 0; --i) {
    proto::TargetShares& shares = *aRow.mutable_targets(i);
    if (m_fleet.Find(TargetId(shares.target())) != nullptr) {
      continue;
    }
    for (proto::Share& share : *shares.mutable_shares()) {
      TimePoint since;
      const bool own =
        share.entry() == m_self.Text() && m_session.WasOurs(share.epoch());
      const bool dead =
        m_watch.IsEnded(EntryId(share.entry()), share.epoch(), &since) &&
        aContext.m_now >= since + wait;
      if (own || dead) {
        SetParts(share, Resources(), Resources());
        changed = true;
      }
    }
    DropEmptyShares(shares);
    if (shares.shares_size() == 0) {
      aRow.mutable_targets()->DeleteSubrange(i, 1);
      changed = true;
    }
  }
  return changed;
}

} // namespace lycheestep
