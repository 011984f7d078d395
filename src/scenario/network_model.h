#ifndef LYCHEESTEP_NETWORK_MODEL_H
#define LYCHEESTEP_NETWORK_MODEL_H

#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "lycheestep/id.h"
#include "lycheestep/time_types.h"

namespace lycheestep {

// The name of the platform in cuts.
constexpr const char* kPlatformName = "platform";

// One end of a link. Callers and the platform have their own names.
struct Place
{
  // An entry host's or target's name, or kPlatformName.
  std::string m_name;
  // Empty for the platform, which is in no data centre.
  DataCentreName m_dataCentre;
};

// One-way delays and faults of all links.
struct NetworkSettings
{
  Duration m_withinDataCentre = std::chrono::microseconds(250);
  Duration m_betweenDataCentres = std::chrono::milliseconds(3);
  Duration m_toCallers = std::chrono::milliseconds(1);
  Duration m_toPlatform = std::chrono::milliseconds(1);
  // Each delay is stretched by up to this part of itself, in percent.
  int m_variationPercent = 50;
  // Messages that are lost once and sent again, in hundredths of a percent.
  int m_lossPerTenThousand = 10;
  // Time after which a lost message is sent again, as TCP does.
  Duration m_resendTime = std::chrono::milliseconds(200);
};

// Delay, loss and cuts; nothing else of a network.
class NetworkModel
{
public:
  NetworkModel(const NetworkSettings& aSettings, std::uint64_t aSeed);

  // The delay of a message sent now, or nothing when the link is cut.
  std::optional<Duration> Delay(const Place& aFrom, const Place& aTo);

  // The delay between a caller and the entry host it talks to.
  Duration CallerDelay();

  // Cuts and mends. A side is the name of a data centre, an entry host, a
  // target or the platform; everything in a data centre is cut with it.
  void Cut(const std::string& aOne, const std::string& aOther);
  void Mend(const std::string& aOne, const std::string& aOther);
  bool IsCut(const Place& aOne, const Place& aOther) const;

private:
  using Sides = std::pair<std::string, std::string>;

  static Sides Sorted(const std::string& aOne, const std::string& aOther);
  Duration Vary(Duration aBase);

  NetworkSettings m_settings;
  std::mt19937_64 m_random;
  std::set<Sides> m_cuts;
};

} // namespace lycheestep

#endif
