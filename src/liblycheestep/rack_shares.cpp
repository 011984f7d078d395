#include "rack_shares.h"

#include "lycheestep/id.h"
#include "peer_directory.h"
#include "rows.pb.h"

namespace lycheestep {

Resources NotNegative(const Resources& aResources)
{
  return Resources::Max(Resources(), aResources);
}

Resources MainOf(const proto::Share& aShare)
{
  return FromProto(aShare.main());
}

Resources ReserveOf(const proto::Share& aShare)
{
  return FromProto(aShare.reserve());
}

void SetParts(proto::Share& aShare,
              const Resources& aMain,
              const Resources& aReserve)
{
  ToProto(aMain, aShare.mutable_main());
  ToProto(aReserve, aShare.mutable_reserve());
}

void AddShare(proto::TargetShares& aShares,
              const std::string& aEntry,
              std::uint64_t aEpoch,
              const Resources& aMain,
              const Resources& aReserve)
{
  for (proto::Share& share : *aShares.mutable_shares()) {
    if (share.entry() == aEntry && share.epoch() == aEpoch) {
      SetParts(share, MainOf(share) + aMain, ReserveOf(share) + aReserve);
      return;
    }
  }
  proto::Share* share = aShares.add_shares();
  share->set_entry(aEntry);
  share->set_epoch(aEpoch);
  SetParts(*share, aMain, aReserve);
}

void DropEmptyShares(proto::TargetShares& aShares)
{
  auto* shares = aShares.mutable_shares();
  for (int i = shares->size() - 1; i >= 0; --i) {
    if (MainOf(shares->Get(i)).IsZero() && ReserveOf(shares->Get(i)).IsZero()) {
      shares->DeleteSubrange(i, 1);
    }
  }
}

proto::TargetShares& SharesOf(proto::RackRow& aRow, const TargetId& aTarget)
{
  for (proto::TargetShares& target : *aRow.mutable_targets()) {
    if (target.target() == aTarget.Text()) {
      return target;
    }
  }
  proto::TargetShares* added = aRow.add_targets();
  added->set_target(aTarget.Text());
  return *added;
}

const proto::Share* FindShare(const proto::RackRow& aRow,
                              const std::string& aTarget,
                              const std::string& aEntry,
                              std::uint64_t aEpoch)
{
  for (const proto::TargetShares& target : aRow.targets()) {
    if (target.target() != aTarget) {
      continue;
    }
    for (const proto::Share& share : target.shares()) {
      if (share.entry() == aEntry && share.epoch() == aEpoch) {
        return &share;
      }
    }
  }
  return nullptr;
}

Resources SumOf(const proto::TargetShares& aShares)
{
  Resources sum;
  for (const proto::Share& share : aShares.shares()) {
    sum += MainOf(share) + ReserveOf(share);
  }
  return sum;
}

} // namespace lycheestep
