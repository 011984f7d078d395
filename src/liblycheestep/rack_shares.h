#ifndef LYCHEESTEP_RACK_SHARES_H
#define LYCHEESTEP_RACK_SHARES_H

#include <cstdint>
#include <string>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"

namespace lycheestep {

namespace proto {
class RackRow;
class Share;
class TargetShares;
} // namespace proto

// Functions on the shares of targets in a rack's row. A share belongs to an
// entry host in one epoch of its session, and has a main and a reserve part.

// Returns aResources with zero in place of each negative amount.
Resources NotNegative(const Resources& aResources);

// Return the parts of a share.
Resources MainOf(const proto::Share& aShare);
Resources ReserveOf(const proto::Share& aShare);

// Sets both parts of a share.
void SetParts(proto::Share& aShare,
              const Resources& aMain,
              const Resources& aReserve);

// Adds to the share of that holder, which is made if there is none.
void AddShare(proto::TargetShares& aShares,
              const std::string& aEntry,
              std::uint64_t aEpoch,
              const Resources& aMain,
              const Resources& aReserve);

// Removes the shares both of whose parts are zero.
void DropEmptyShares(proto::TargetShares& aShares);

// Returns the target's shares in a row, which are added if there are none.
proto::TargetShares& SharesOf(proto::RackRow& aRow, const TargetId& aTarget);

// Returns the share of that holder in a row; null when it has none.
const proto::Share* FindShare(const proto::RackRow& aRow,
                              const std::string& aTarget,
                              const std::string& aEntry,
                              std::uint64_t aEpoch);

// Returns the sum of both parts of all shares.
Resources SumOf(const proto::TargetShares& aShares);

} // namespace lycheestep

#endif
