#include "network_model.h"

#include <algorithm>

namespace lycheestep {

namespace {

bool IsAt(const Place& aPlace, const std::string& aSide)
{
  return aPlace.m_name == aSide || aPlace.m_dataCentre.Text() == aSide;
}

} // namespace

NetworkModel::NetworkModel(const NetworkSettings& aSettings,
                           std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_random(aSeed)
{
}

std::optional<Duration> NetworkModel::Delay(const Place& aFrom,
                                            const Place& aTo)
{
  Duration base = m_settings.m_betweenDataCentres;
  if (aFrom.m_name == kPlatformName || aTo.m_name == kPlatformName) {
    base = m_settings.m_toPlatform;
  } else if (aFrom.m_dataCentre == aTo.m_dataCentre) {
    base = m_settings.m_withinDataCentre;
  }
  const Duration delay = Vary(base);
  if (IsCut(aFrom, aTo)) {
    return std::nullopt;
  }
  return delay;
}

Duration NetworkModel::CallerDelay()
{
  return Vary(m_settings.m_toCallers);
}

void NetworkModel::Cut(const std::string& aOne, const std::string& aOther)
{
  m_cuts.insert(Sorted(aOne, aOther));
}

void NetworkModel::Mend(const std::string& aOne, const std::string& aOther)
{
  m_cuts.erase(Sorted(aOne, aOther));
}

bool NetworkModel::IsCut(const Place& aOne, const Place& aOther) const
{
  return std::any_of(m_cuts.begin(), m_cuts.end(), [&](const Sides& aSides) {
    return (IsAt(aOne, aSides.first) && IsAt(aOther, aSides.second)) ||
           (IsAt(aOne, aSides.second) && IsAt(aOther, aSides.first));
  });
}

NetworkModel::Sides NetworkModel::Sorted(const std::string& aOne,
                                         const std::string& aOther)
{
  return std::minmax(aOne, aOther);
}

Duration NetworkModel::Vary(Duration aBase)
{
  constexpr std::uint64_t kTenThousand = 10000;
  const auto stretch = static_cast<Duration::rep>(m_random() % kTenThousand);
  Duration delay =
    aBase + aBase * m_settings.m_variationPercent * stretch / 1000000;
  const auto loss = static_cast<std::uint64_t>(m_settings.m_lossPerTenThousand);
  while (m_random() % kTenThousand < loss) {
    delay += m_settings.m_resendTime;
  }
  return delay;
}

} // namespace lycheestep
