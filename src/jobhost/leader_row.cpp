#include "leader_row.h"

#include <chrono>

#include "jobs.pb.h"

namespace lycheestep {

namespace {

std::uint64_t WholeMilliseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(ToMilliseconds(aDuration));
}

} // namespace

void SetHolder(const LeaderRowHolder& aHolder,
               LeaderSuccession aSuccession,
               proto::LeaderRow& aRow)
{
  if (aSuccession == LeaderSuccession::kAnyRelease) {
    aRow.set_host(aHolder.m_host);
    aRow.set_incarnation(aHolder.m_incarnation);
    aRow.set_renewed_ms(WholeMilliseconds(aHolder.m_renewed));
    aRow.set_released(aHolder.m_released);
    return;
  }
  aRow.set_renewed_ms(
    WholeMilliseconds(aHolder.m_renewed + kEarlierReleaseDelay));
  aRow.set_holder(aHolder.m_host);
  aRow.set_holder_incarnation(aHolder.m_incarnation);
  aRow.set_holder_renewed_ms(WholeMilliseconds(aHolder.m_renewed));
  aRow.set_holder_released(aHolder.m_released);
}

LeaderRowHolder HolderOf(const proto::LeaderRow& aRow)
{
  if (aRow.holder().empty()) {
    return LeaderRowHolder{ aRow.host(),
                            aRow.incarnation(),
                            std::chrono::milliseconds(aRow.renewed_ms()),
                            aRow.released() };
  }
  return LeaderRowHolder{ aRow.holder(),
                          aRow.holder_incarnation(),
                          std::chrono::milliseconds(aRow.holder_renewed_ms()),
                          aRow.holder_released() };
}

} // namespace lycheestep
