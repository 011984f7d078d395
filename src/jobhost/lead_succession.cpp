#include "lead_succession.h"

#include <algorithm>
#include <chrono>
#include <tuple>

#include "peer_host.h"

namespace lycheestep {

namespace {

// No task is started while the leader changes. A leader therefore keeps the
// lead at least for kMinTerm, and hands it over only to a host with kMuchLarger
// times its processor share that has reached the store for kMinReachTime.
constexpr Duration kMinTerm = std::chrono::seconds(4);
constexpr Duration kMinReachTime = std::chrono::seconds(2);
constexpr double kMuchLarger = 2;

} // namespace

std::vector<std::string> RankSuccessors(const PeerHosts& aHosts, TimePoint aNow)
{
  std::vector<std::tuple<bool, double, std::string>> ranked;
  for (const auto& [name, host] : aHosts) {
    if (host.IsLive(aNow)) {
      ranked.emplace_back(
        !host.m_reachesStoreSince, -host.m_processorShare, name);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const auto& entry : ranked) {
    names.push_back(std::get<std::string>(entry));
  }
  return names;
}

bool ShouldHandOver(const PeerHosts& aHosts,
                    double aOwnShare,
                    TimePoint aLeadingSince,
                    TimePoint aNow)
{
  if (aNow - aLeadingSince < kMinTerm) {
    return false;
  }
  return std::any_of(aHosts.begin(), aHosts.end(), [&](const auto& aEntry) {
    const PeerHost& host = aEntry.second;
    return host.IsLive(aNow) && host.m_reachesStoreSince &&
           aNow - *host.m_reachesStoreSince >= kMinReachTime &&
           host.m_processorShare > aOwnShare &&
           host.m_processorShare >= aOwnShare * kMuchLarger;
  });
}

} // namespace lycheestep
